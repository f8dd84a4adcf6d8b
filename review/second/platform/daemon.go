//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// daemon is a process of the deploy file's command on a loopback address of its own.
type daemon struct {
	scene    *scene
	name     string
	zone     string
	ip       string
	front    string
	ready    string
	door     *door
	settings string
	memoryMB int
	cmd      *exec.Cmd
	exited   chan struct{}
	logFile  *os.File
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// newDaemon prepares the settings of a daemon, like those of a small deployment.
func (s *scene) newDaemon(zone string) *daemon {
	n := len(s.daemons) + 1
	d := &daemon{scene: s, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%100, 1+os.Getpid()/100%200, n), memoryMB: 154}
	d.door = s.store.open()
	d.front = net.JoinHostPort(d.ip, strconv.Itoa(freePort(d.ip)))
	d.ready = net.JoinHostPort(d.ip, strconv.Itoa(freePort(d.ip)))
	first := freePort(d.ip)
	d.settings = filepath.Join(s.dir, d.name+".conf")
	text := fmt.Sprintf(`node=%s
role=daemon
machine_class=front
serves=front
ip=%s
zone=%s
region=r
%slisten.front=%s
listen.ready=%s
port_range=%d,%d
seeds=
bootstrap=true
limits.cpu_share=0.8
limits.cores=1
limits.memory_mb=%d
limits.max_fds=8200
discovery=platform
entry=vip
beat_interval_ms=1200
contracts=base,drain,config,cost,recover,agent,stream,engine,platform%s
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.recovery_s=12
platform.address=%s
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.row_bytes=65536
`, d.name, d.ip, zone, s.zoneLines(), d.front, d.ready, first, first+15, d.memoryMB, s.contracts, d.door.address)
	check(os.WriteFile(d.settings, []byte(text), 0o600))
	s.daemons = append(s.daemons, d)
	return d
}

// start starts the process.
func (d *daemon) start() {
	words := strings.Fields(d.scene.command)
	d.cmd = exec.Command(words[0], words[1:]...)
	d.cmd.Dir = d.scene.root
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.scene.dir, "PIMENTORAIL_SETTINGS=" + d.settings}
	if d.logFile == nil {
		d.logFile, _ = os.Create(filepath.Join(d.scene.dir, d.name+".log"))
	}
	d.cmd.Stdout, d.cmd.Stderr = d.logFile, d.logFile
	check(d.cmd.Start())
	d.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		c.Wait()
		close(done)
	}(d.cmd, d.exited)
	d.scene.logf("daemon %s started", d.name)
	if f, err := os.OpenFile(os.Getenv("PIDS"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err == nil {
		fmt.Fprintln(f, d.cmd.Process.Pid)
		f.Close()
	}
}

func (d *daemon) signal(sig syscall.Signal) {
	d.scene.logf("daemon %s gets %v", d.name, sig)
	d.cmd.Process.Signal(sig)
}

func (d *daemon) alive() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (d *daemon) waitReady() {
	for range 200 {
		if d.isReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.scene.cannotRun("daemon %s is not ready", d.name)
}

// memoryKB returns a number of /proc/PID/status in kB.
func (d *daemon) memoryKB(field string) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}
