package config

import (
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
)

const (
	programName        = "peppertraild"
	programDescription = "request router for prepaid token budgets"
)

// flagValues holds the values given on the command line, by setting name.
type flagValues map[string][]string

// readFlags parses args. Arguments that flaggy would ignore silently, or for
// which it would end the process, are reported as problems and not parsed.
func readFlags(all []setting, args []string) (flagValues, []Problem) {
	kept, problems := splitArgs(all, args)
	parser := newParser()
	values := make(map[string]*[]string)
	boolFlags := make(map[string]*[]bool)
	for _, s := range all {
		if s.boolean {
			boolFlags[s.name] = new([]bool)
			parser.BoolSlice(boolFlags[s.name], "", s.name, s.usage())
			continue
		}
		values[s.name] = new([]string)
		parser.StringSlice(values[s.name], "", s.name, s.usage())
	}
	if err := parser.ParseArgs(kept); err != nil {
		problems = append(problems, Problem{Flag: "command line", Value: strings.Join(kept, " "), Allowed: err.Error()})
	}
	given := make(flagValues)
	for name, list := range values {
		given[name] = *list
	}
	for name, list := range boolFlags {
		for _, on := range *list {
			given[name] = append(given[name], strconv.FormatBool(on))
		}
	}
	return given, problems
}

// newParser returns a flaggy parser that ends the process only on --help.
func newParser() *flaggy.Parser {
	parser := flaggy.NewParser(programName)
	parser.Description = programDescription
	parser.ShowHelpOnUnexpected = false
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	return parser
}

// splitArgs returns the arguments that flaggy can parse, and a problem for each
// other argument.
func splitArgs(all []setting, args []string) ([]string, []Problem) {
	byName := make(map[string]setting)
	for _, s := range all {
		byName[s.name] = s
	}
	var kept []string
	var problems []Problem
	for i := 0; i < len(args); i++ {
		name, value, inline := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		if isHelp(args[i]) {
			kept = append(kept, args[i])
			continue
		}
		s, known := byName[name]
		switch {
		case !strings.HasPrefix(args[i], "-") || !known:
			problems = append(problems, Problem{Flag: "command line", Value: args[i], Allowed: "the flags that --help lists"})
		case s.boolean && !inline:
			kept = append(kept, args[i])
		case s.boolean && !isBool(value):
			problems = append(problems, Problem{Flag: s.flag(), Value: value, Allowed: s.allowed})
		case inline:
			kept = append(kept, args[i])
		case i+1 == len(args):
			problems = append(problems, Problem{Flag: s.flag(), Value: "", Allowed: s.allowed})
		default:
			kept = append(kept, s.flag()+"="+args[i+1])
			i++
		}
	}
	return kept, problems
}

func isHelp(arg string) bool { return arg == "-h" || arg == "--help" }

func isBool(value string) bool {
	_, err := strconv.ParseBool(value)
	return err == nil
}
