package soak

import (
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/peppertrail/peppertrail/pkg/standin/replica"
	"github.com/peppertrail/peppertrail/pkg/standin/rowstore"
	"github.com/peppertrail/peppertrail/platform/rig"
)

// fault is one kind of trouble. It returns at once; what lasts ends by itself or
// with heal.
type fault struct {
	name   string
	weight int
	play   func(w *world)
}

var faults = []fault{
	{"kill", 4, func(w *world) { w.withHost(w.kill) }},
	{"kill all", 1, func(w *world) {
		for _, h := range w.hosts {
			w.take(h, w.kill)
		}
	}},
	{"pause", 3, func(w *world) { w.withHost(w.pause) }},
	{"stop", 4, func(w *world) { w.withHost(w.stop) }},
	{"reload", 2, func(w *world) { w.signal(w.anyHost(), syscall.SIGHUP) }},
	{"store", 6, func(w *world) { w.anyHost().Store.SetFaults(w.storeFaults()) }},
	{"store for all", 2, func(w *world) {
		f := w.storeFaults()
		for _, h := range w.hosts {
			h.Store.SetFaults(f)
		}
	}},
	{"store well", 6, func(w *world) {
		for _, h := range w.hosts {
			h.Store.SetFaults(rowstore.Faults{})
		}
	}},
	{"history", 1, func(w *world) { w.fleet.Rows.ForgetHistory() }},
	{"target", 5, func(w *world) { w.anyLink().SetFaults(w.targetFaults()) }},
	{"target well", 4, func(w *world) { w.anyLink().SetFaults(replica.Faults{}) }},
	{"silence", 2, func(w *world) { w.anyLink().setSilent(true) }},
	{"silence over", 3, func(w *world) { w.anyLink().setSilent(false) }},
	{"drain", 2, func(w *world) { l := w.anyLink(); w.fleet.Register(l.Replica, l.proxy.Addr(), "draining") }},
	{"leave", 1, func(w *world) { w.fleet.Unregister(w.anyLink().Replica) }},
	{"return", 4, func(w *world) { l := w.anyLink(); w.fleet.Register(l.Replica, l.proxy.Addr(), "ready") }},
	{"configuration", 4, func(w *world) { w.configure() }},
	{"top-up", 3, func(w *world) { w.prepaid.Add(topUp); w.configure() }},
}

// trouble plays a fault, and often another one beside it.
func (w *world) trouble() {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	pick := w.random.IntN(total)
	for _, f := range faults {
		if pick -= f.weight; pick < 0 {
			w.book.event("fault: %s", f.name)
			w.played[f.name]++
			f.play(w)
			break
		}
	}
	w.book.newest.Store(int64(w.version))
	time.Sleep(time.Duration(w.random.IntN(400)) * time.Millisecond)
}

func (w *world) anyHost() *host { return w.hosts[w.random.IntN(len(w.hosts))] }
func (w *world) anyLink() *link { return w.links[w.random.IntN(len(w.links))] }

func (w *world) storeFaults() rowstore.Faults {
	return []rowstore.Faults{
		{Cut: true}, {Refuse: true}, {LoseReplies: true}, {LoseReplies: true, ApplyLate: 300 * time.Millisecond},
		{Delay: 150 * time.Millisecond}, {RefusedPart: rig.Customer},
	}[w.random.IntN(6)]
}

func (w *world) targetFaults() replica.Faults {
	return []replica.Faults{
		{Full: true}, {Silent: true}, {LoseAnswer: true}, {CutAfter: 2}, {CutAfter: 3, CutMidEvent: true},
		{Status: 500}, {Delay: 400 * time.Millisecond},
	}[w.random.IntN(7)]
}

// withHost plays a fault of a process, unless one is under way there.
func (w *world) withHost(play func(h *host, amount time.Duration)) { w.take(w.anyHost(), play) }

// take runs a fault of a host's process beside the plan. Its length is drawn
// first, so that a seed draws the same numbers in any timing.
func (w *world) take(h *host, play func(h *host, amount time.Duration)) {
	amount := time.Duration(w.random.IntN(1500)) * time.Millisecond
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.busy {
		return
	}
	h.busy = true
	w.restarts.Go(func() {
		play(h, amount)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.busy = false
	})
}

func (w *world) signal(h *host, s os.Signal) {
	if err := h.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		w.t.Errorf("signal %s: %v", h.Name, err)
	}
}

func (h *host) mark(change func(h *host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(h)
}

// kill ends a process at once and starts the next one after a while.
func (w *world) kill(h *host, after time.Duration) {
	h.mark(func(h *host) { h.forced = true })
	w.signal(h, os.Kill)
	if err := h.Wait(startLimit); errors.Is(err, rig.ErrRunning) {
		w.t.Errorf("%s: %v after a kill", h.Name, err)
	}
	w.restart(h, after/3)
}

func (w *world) restart(h *host, after time.Duration) {
	time.Sleep(after)
	if err := h.Start(); err != nil {
		w.t.Errorf("%v", err)
		return
	}
	w.await(h.Name+" listens", startLimit, h.AcceptsConnections)
	h.mark(func(h *host) { h.process++; h.forced, h.stopped, h.served = false, false, make(map[int]time.Time) })
}

// pause suspends a process for a while.
func (w *world) pause(h *host, length time.Duration) {
	h.mark(func(h *host) { h.paused = true })
	w.signal(h, syscall.SIGSTOP)
	time.Sleep(length)
	w.signal(h, syscall.SIGCONT)
	time.Sleep(callLimit / 4)
	h.mark(func(h *host) { h.paused = false; h.process++ }) // callers under way may have seen the pause
}

// stop ends a process gracefully. Callers keep using their open connections.
func (w *world) stop(h *host, after time.Duration) {
	h.mark(func(h *host) { h.stopped = true })
	w.signal(h, syscall.SIGTERM)
	w.checkStop(h)
	w.restart(h, after/3)
}
