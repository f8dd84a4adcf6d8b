//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const host = "agents.example"

// request is one client attempt.
type request struct {
	path    string
	body    string
	timeout time.Duration
	program string
	session string
	parent  string
	finish  time.Duration
	turn    bool
	budget  int
	tokens  int
	// resumes is the id of the attempt that brought the first event, and last the id of the
	// last event, of a stream that is taken up.
	resumes string
	last    int
}

// answer is what the client saw of one attempt.
type answer struct {
	id     string
	sentAt time.Time
	status int
	// whole is set for a complete success with a receipt.
	whole bool
	body  string
	err   error
	// comeBack is the time of Retry-After.
	comeBack time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, not whole: %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d, whole %v", a.status, a.whole)
}

// send sends one attempt to a daemon on a channel of its own.
func (w *world) send(d *daemon, q request) answer {
	a := answer{id: fmt.Sprintf("%08x%08x", w.random(), w.random()), sentAt: time.Now()}
	w.note("request %s to %s%s (program %q, after turn %q, %.40q) sent to %s", a.id, host, q.path, q.program, q.parent, q.body, d.node)
	defer func() { w.note("request %s: %v", a.id, &a) }()
	c, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(a.sentAt.Add(q.timeout))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", q.path, host, headerID, a.id, headerDeadline, q.timeout.Milliseconds(), len(q.body))
	if q.program != "" {
		fmt.Fprintf(&b, "Pimentorail-Program-Id: %s\r\nPimentorail-Session-Id: %s\r\nPimentorail-Finish-Ms: %d\r\n", q.program, q.session, q.finish.Milliseconds())
	}
	if q.turn {
		fmt.Fprintf(&b, "Pimentorail-Model: m\r\nPimentorail-Token-Budget: %d\r\nPimentorail-Token-Count: %d,%d\r\n", q.budget, len(q.body), q.tokens)
	}
	if q.resumes != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", q.last, q.resumes)
	}
	if q.parent != "" {
		fmt.Fprintf(&b, "Pimentorail-Previous-Turn: %s\r\n", q.parent)
	}
	b.WriteString("\r\n" + q.body)
	if _, err = c.Write(b.Bytes()); err != nil {
		a.err = err
		return a
	}
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return a
	}
	a.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	a.whole = err == nil && resp.StatusCode/100 == 2 && resp.Header.Get(headerStamp) != ""
	if resp.StatusCode/100 != 2 {
		w.note("request %s: %s", a.id, bytes.TrimSpace(body))
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.comeBack = time.Duration(after * float64(time.Second))
	}
	return a
}
