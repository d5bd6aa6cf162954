package config

import "strings"

// envPrefix is the prefix of the environment variable of each setting. For
// example, the variable of --commit-rate is PEPPERTRAIL_COMMIT_RATE.
const envPrefix = "PEPPERTRAIL_"

// envSeparator separates the values of a repeatable setting in its environment variable.
const envSeparator = ","

// Parse reads the settings from args, which excludes the program name, and from
// the environment. A flag overrides the environment variable; an empty variable
// counts as not set. If any setting is invalid, Parse returns an *Error with every
// problem. With --version it checks no other setting. With --help it prints the
// help text and ends the process.
func Parse(args []string, environ func(string) string) (Config, error) {
	all := settings()
	given, problems := readFlags(all, args)
	var c Config
	for _, s := range all {
		problems = append(problems, applySetting(&c, s, given[s.name], environ(s.environ()))...)
	}
	if c.ShowVersion {
		return c, nil
	}
	if !c.AdvertisePeer.IsValid() {
		c.AdvertisePeer = c.PeerListen
	}
	problems = append(problems, check(c)...)
	if len(problems) > 0 {
		return Config{}, &Error{Problems: problems}
	}
	return c, nil
}

// applySetting stores the value of one setting in c: that of the flag, else that
// of the environment variable, else the default.
func applySetting(c *Config, s setting, argValues []string, envValue string) []Problem {
	values, source := chooseValues(s, argValues, envValue)
	if len(values) == 0 && s.required {
		return []Problem{{Flag: s.flag(), Value: "", Allowed: s.allowed}}
	}
	if len(values) > 1 && !s.repeatable {
		return []Problem{{Flag: s.flag(), Source: source, Value: strings.Join(values, " "), Allowed: "one value; " + s.allowed}}
	}
	var problems []Problem
	for _, value := range values {
		if err := s.apply(c, value); err != nil {
			problems = append(problems, Problem{Flag: s.flag(), Source: source, Value: value, Allowed: s.allowed})
		}
	}
	return problems
}

// chooseValues returns the values that take effect and the name of the
// environment variable that they come from, if any.
func chooseValues(s setting, argValues []string, envValue string) (values []string, source string) {
	switch {
	case len(argValues) > 0:
		return argValues, ""
	case envValue != "" && s.repeatable:
		return strings.Split(envValue, envSeparator), s.environ()
	case envValue != "":
		return []string{envValue}, s.environ()
	case s.def != "":
		return []string{s.def}, ""
	}
	return nil, ""
}
