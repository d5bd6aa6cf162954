package integration

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peppertrail/peppertrail/test/harness"
)

const (
	// bundleProbeInterval is the pause between two probes of a daemon.
	bundleProbeInterval = 150 * time.Millisecond
	// bundleProbeTimeout bounds one probe. A paused daemon does not answer.
	bundleProbeTimeout = 1500 * time.Millisecond
	// bundleUnknownModel is a request body that is refused after the API key is checked
	// and before a budget is used.
	bundleUnknownModel = `{"model":"no-such-model","messages":[{"role":"user","content":"x"}]}`
)

// bundleWatcher observes the bundle version of one daemon across restarts, by /readyz
// and by the API keys that the daemon accepts. It fails the test if either of the two
// reverts to an older version.
type bundleWatcher struct {
	t        *testing.T
	daemon   *harness.Daemon
	versions *acceptedVersions
	client   *http.Client

	mu            sync.Mutex
	maxReported   uint64 // highest version that /readyz reported
	maxKeyVersion uint64 // highest version whose key was accepted
}

func newBundleWatcher(t *testing.T, d *harness.Daemon, versions *acceptedVersions) *bundleWatcher {
	t.Helper()
	// Connections are not reused, so that each probe reaches the current process.
	transport := &http.Transport{DisableKeepAlives: true}
	return &bundleWatcher{t: t, daemon: d, versions: versions, client: &http.Client{Transport: transport, Timeout: bundleProbeTimeout}}
}

// run probes the daemon until stop is closed.
func (w *bundleWatcher) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(bundleProbeInterval):
		}
		w.probeReadiness()
		w.probeKeys()
	}
}

// probeReadiness compares the version of /readyz with the highest one so far. It
// returns the version, or 0 if the daemon does not answer or has no bundle yet.
func (w *bundleWatcher) probeReadiness() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock() // concurrent probes could be compared in the wrong order
	response, err := w.client.Get(w.daemon.AdminURL() + "/readyz")
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var reply struct {
		Ready  bool   `json:"ready"`
		Bundle uint64 `json:"bundle_version"`
	}
	if json.NewDecoder(response.Body).Decode(&reply) != nil {
		return 0
	}
	if reply.Bundle == 0 {
		if reply.Ready || response.StatusCode == http.StatusOK {
			w.t.Errorf("%s is ready without a bundle", w.daemon.Name)
		}
		return 0 // the process has just started
	}
	if reply.Bundle < w.maxReported {
		w.t.Errorf("%s reverted from version %d to %d", w.daemon.Name, w.maxReported, reply.Bundle)
	}
	w.maxReported = max(w.maxReported, reply.Bundle)
	return reply.Bundle
}

// probeKeys tries the API keys of all versions, oldest first. If the daemon accepts the
// key of a version below one that was in force before, it has reverted.
func (w *bundleWatcher) probeKeys() {
	newest, _ := w.versions.newest()
	for version := uint64(2); version <= newest; version++ {
		before := w.highestKeyVersion()
		if !w.acceptsKey(w.versions.key(version)) {
			continue
		}
		if version < before {
			w.t.Errorf("%s accepted the key of version %d after that of version %d", w.daemon.Name, version, before)
		}
		w.mu.Lock()
		w.maxKeyVersion = max(w.maxKeyVersion, version)
		w.mu.Unlock()
	}
}

// acceptsKey reports whether the daemon accepts an API key. An accepted key leads to
// status 404, because the model is unknown.
func (w *bundleWatcher) acceptsKey(key string) bool {
	request, err := http.NewRequest(http.MethodPost, w.daemon.URL()+"/v1/chat/completions", strings.NewReader(bundleUnknownModel))
	if err != nil {
		w.t.Error(err)
		return false
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := w.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusNotFound
}

// highestKeyVersion returns the highest version whose key was accepted.
func (w *bundleWatcher) highestKeyVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxKeyVersion
}

// inForce reports whether a version is in force now: /readyz reports it or a later one,
// its key is accepted and the key of the previous version is not.
func (w *bundleWatcher) inForce(version uint64) bool {
	return w.probeReadiness() >= version && w.acceptsKey(w.versions.key(version)) && !w.acceptsKey(w.versions.key(version-1))
}
