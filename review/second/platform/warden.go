//go:build review2

package main

import (
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// wardenPeriod is the time between two looks at the memory of a process.
	wardenPeriod = 10 * time.Millisecond
	// restartDelay is the time from the end of a process until it is started again.
	restartDelay = time.Second
)

// warden is the platform's guard of one machine: it ends a process that exceeds limits.memory_mb of its
// settings, and starts a process again that has ended. Only the process's own pages count (RssAnon): those of
// its program file and bytes in the kernel's buffers do not, although the pages count unread bytes as well.
type warden struct {
	daemon *daemon
	ends   atomic.Int64
	// peakKB is the most memory that was seen.
	peakKB atomic.Int64
	stop   chan struct{}
	done   chan struct{}
}

func guard(d *daemon) *warden {
	w := &warden{daemon: d, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *warden) run() {
	defer close(w.done)
	for w.sleep(wardenPeriod) {
		if !w.hasEnded() {
			continue
		}
		w.ends.Add(1)
		if !w.sleep(restartDelay) {
			return
		}
		w.daemon.start()
	}
}

// hasEnded reports whether the process has ended, by itself or because of its memory.
func (w *warden) hasEnded() bool {
	d := w.daemon
	if !d.alive() {
		d.scene.logf("platform: the process of %s has ended by itself", d.name)
		return true
	}
	kb := d.memoryKB("RssAnon")
	w.peakKB.Store(max(w.peakKB.Load(), int64(kb)))
	if kb <= d.memoryMB<<10 {
		return false
	}
	d.scene.logf("platform: the process of %s has %d MB of its own, its machine has %d MB: killed", d.name, kb>>10, d.memoryMB)
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.exited
	return true
}

func (w *warden) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.stop:
		return false
	}
}

// end ends the guard and logs what it saw.
func (w *warden) end() {
	close(w.stop)
	<-w.done
	w.daemon.scene.logf("%s: ended %d times, at most %d MB of its own, of %d MB", w.daemon.name, w.ends.Load(), w.peakKB.Load()>>10, w.daemon.memoryMB)
}
