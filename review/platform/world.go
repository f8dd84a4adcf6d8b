//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// startTime is the time from the start of the machines to the start of traffic.
const startTime = 10 * time.Second

// world is one deployment: the store, the replicas, the daemons and the record.
type world struct {
	dir     string
	program string
	started time.Time
	store   *store
	storeAt string
	// crashBack is how long a replica is away after a request has crashed it.
	crashBack time.Duration
	daemons   []*daemon
	replicas  []*replica

	mu     sync.Mutex
	rng    *rand.Rand
	record *bufio.Writer
	runs   []run
}

// daemon is one process of `pimentorail serve`.
type daemon struct {
	world                  *world
	node, zone, ip         string
	front, ready, settings string
	log                    *os.File
	cmd                    *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

func newWorld(program, dir string, record *os.File, seed int64) *world {
	w := &world{dir: dir, program: program, started: time.Now(), store: newStore(), crashBack: 3 * time.Second, rng: rand.New(rand.NewSource(seed)), record: bufio.NewWriter(record)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	w.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	return w
}

// failure ends a case that can't run.
type failure struct{ err error }

func (w *world) must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

func (w *world) random() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Uint32()
}

// pick returns n different numbers below the first argument.
func (w *world) pick(among, n int) []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Perm(among)[:n]
}

// at returns the seconds from the start of traffic.
func (w *world) at(t time.Time) float64 { return (t.Sub(w.started) - startTime).Seconds() }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", w.at(time.Now()), fmt.Sprintf(format, args...))
}

func (w *world) addRun(r run) {
	verb := "refuses"
	if r.ran {
		verb = "runs"
	}
	w.note("replica %s %s request %s", r.replica, verb, r.id)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

// arrivals returns what reached replicas so far.
func (w *world) arrivals() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// freePorts returns different ports that are free at an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addDaemon adds a machine with its own loopback address.
func (w *world) addDaemon(zone string, zones []string) *daemon {
	n := len(w.daemons) + 1
	d := &daemon{world: w, node: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("127.0.7.%d", n)}
	ports, err := freePorts(d.ip, 3)
	w.must(err)
	d.front, d.ready = fmt.Sprintf("%s:%d", d.ip, ports[0]), fmt.Sprintf("%s:%d", d.ip, ports[1])
	lines := []string{
		"node=" + d.node, "role=daemon", "machine_class=front", "serves=front", "ip=" + d.ip, "zone=" + zone, "region=r",
		"listen.front=" + d.front, "listen.ready=" + d.ready, fmt.Sprintf("port_range=%d,%d", ports[2], ports[2]), "bootstrap=true",
		"limits.cpu_share=0.8", "limits.cores=1", "limits.memory_mb=154", "limits.max_fds=8200", "discovery=platform", "entry=vip",
		"beat_interval_ms=1200", "contracts=base,drain,config,cost,recover,agent,stream,engine,platform",
		"bounds.addr_reuse_s=2", "bounds.stable_window_ms=3000", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=2000", "bounds.recovery_s=12", "platform.address=" + w.storeAt, "platform.form=table",
		"platform.writes_per_s=800", "platform.reads_per_s=2000", "platform.row_bytes=65536",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=r")
	}
	d.settings = filepath.Join(w.dir, d.node+".conf")
	w.must(os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	log, err := os.Create(filepath.Join(w.dir, d.node+".log"))
	w.must(err)
	d.log = log
	w.daemons = append(w.daemons, d)
	return d
}

// start starts the process.
func (d *daemon) start() {
	d.cmd = exec.Command(d.world.program, "serve")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PIMENTORAIL_SETTINGS=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.world.must(d.cmd.Start())
	d.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(d.cmd, d.done)
	d.world.note("%s starts", d.node)
}

// kill kills the process and waits for its end.
func (d *daemon) kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	_ = d.cmd.Process.Kill()
	<-d.done
}

// isReady asks the daemon as the platform does.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// begin starts all daemons and returns when traffic starts.
func (w *world) begin() {
	w.started = time.Now()
	for _, d := range w.daemons {
		d.start()
	}
	time.Sleep(time.Until(w.started.Add(startTime)))
	for _, d := range w.daemons {
		if !d.isReady() {
			panic(failure{fmt.Errorf("%s is not ready", d.node)})
		}
	}
}

// end ends all processes and completes the record.
func (w *world) end() {
	for _, d := range w.daemons {
		d.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
}

// fill returns the share of the slots of all replicas that is in use.
func (w *world) fill() float64 {
	running, slots := 0, 0
	for _, r := range w.replicas {
		n, m := r.load()
		running, slots = running+n, slots+m
	}
	return float64(running) / float64(slots)
}
