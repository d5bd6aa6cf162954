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
	// bundleTick is the time between two looks at a daemon.
	bundleProbeInterval = 150 * time.Millisecond
	// bundleProbeTimeout bounds one look; a paused daemon does not answer.
	bundleProbeTimeout = 1500 * time.Millisecond
	// bundleUnknownModel is refused after the key was checked, before any budget is touched.
	bundleUnknownModel = `{"model":"no-such-model","messages":[{"role":"user","content":"x"}]}`
)

// bundleWatch looks at the version of one daemon, by /readyz and by the keys
// that it accepts, across restarts. It reports an error when either goes back.
type bundleWatcher struct {
	t        *testing.T
	daemon   *harness.Daemon
	versions *acceptedVersions
	client   *http.Client

	mu           sync.Mutex
	maxReported  uint64 // highest version of /readyz
	maxEffective uint64 // highest version whose key was accepted
}

func newBundleWatcher(t *testing.T, d *harness.Daemon, versions *acceptedVersions) *bundleWatcher {
	t.Helper()
	// Without kept connections, so that each look reaches the present process.
	transport := &http.Transport{DisableKeepAlives: true}
	return &bundleWatcher{t: t, daemon: d, versions: versions, client: &http.Client{Transport: transport, Timeout: bundleProbeTimeout}}
}

// run looks until stop is closed.
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

// lookAtReadiness compares the version of /readyz with the highest so far and
// returns it, 0 if the daemon does not answer.
func (w *bundleWatcher) probeReadiness() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock() // two looks at once could be compared in the wrong order
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
		return 0 // a process that has just started
	}
	if reply.Bundle < w.maxReported {
		w.t.Errorf("%s went from version %d to %d", w.daemon.Name, w.maxReported, reply.Bundle)
	}
	w.maxReported = max(w.maxReported, reply.Bundle)
	return reply.Bundle
}

// lookAtKeys tries the keys of all versions from the oldest on. A key of a
// version below one that was in force before means that the daemon went back.
func (w *bundleWatcher) probeKeys() {
	newest, _ := w.versions.newest()
	for version := uint64(2); version <= newest; version++ {
		before := w.effective()
		if !w.acceptsKey(w.versions.key(version)) {
			continue
		}
		if version < before {
			w.t.Errorf("%s accepted the key of version %d after that of version %d", w.daemon.Name, version, before)
		}
		w.mu.Lock()
		w.maxEffective = max(w.maxEffective, version)
		w.mu.Unlock()
	}
}

// knows reports whether the daemon accepts an API key.
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

// effective returns the highest version by effect.
func (w *bundleWatcher) effective() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxEffective
}

// shows reports whether a version is in force now, by /readyz and by effect:
// its key is accepted and that of the version before no longer is.
func (w *bundleWatcher) inForce(version uint64) bool {
	return w.probeReadiness() >= version && w.acceptsKey(w.versions.key(version)) && !w.acceptsKey(w.versions.key(version-1))
}
