package main

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waiter waits for the end of a process.
type waiter struct {
	command *exec.Cmd
	ended   chan string
}

func (w *waiter) run() {
	_ = w.command.Wait() // The state says how it ended.
	w.ended <- w.command.ProcessState.String()
}

// TestADaemonWithoutAReaderOfItsLogEndsAsPlanned guards against a `pimentorail daemon` that ends by
// SIGPIPE at its next line, or by SIGHUP, once the reader of its standard error has ended.
func TestADaemonWithoutAReaderOfItsLogEndsAsPlanned(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "pimentorail")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	f := newFixture(t) // Its daemons take over the partitions at the stop.
	settings, err := json.Marshal(map[string]any{
		"http-address": freePort(t), "rpc-address": freePort(t), "zone": "tarlac", "platform-address": f.Platform, "secret": "a-secret-for-tests", "partitions": 4,
	})
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, settings, 0o600))
	c := exec.Command(binary, "daemon", path)
	log, err := c.StderrPipe()
	is.NoErr(err)
	is.NoErr(c.Start())
	w := &waiter{command: c, ended: make(chan string, 1)}
	t.Cleanup(func() { _ = c.Process.Kill() })
	lines := bufio.NewScanner(log)
	started := false
	for !started && lines.Scan() {
		started = strings.Contains(lines.Text(), "runner: started")
	}
	is.True(started)
	is.NoErr(log.Close())
	go w.run()
	is.NoErr(c.Process.Signal(syscall.SIGHUP))
	select {
	case state := <-w.ended:
		t.Fatalf("the daemon ended before it was told to stop: %s", state)
	case <-time.After(300 * time.Millisecond):
	}
	is.NoErr(c.Process.Signal(syscall.SIGTERM))
	select {
	case state := <-w.ended:
		is.Equal(state, "exit status 0")
	case <-time.After(20 * time.Second):
		t.Fatal("the daemon did not stop")
	}
}
