package server_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// keptConnection is a client's connection that stays open between requests.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
}

func openConnection(is *is.I, address string) *keptConnection {
	is.Helper()
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	return &keptConnection{c, bufio.NewReader(c)}
}

// get sends a request with the client's timeout and returns the response's head.
func (c *keptConnection) get(is *is.I, path, timeout string) *http.Response {
	is.Helper()
	_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nPatience: %s\r\n\r\n", path, timeout)
	is.NoErr(err)
	r, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	return r
}

// TestAStoppingDaemonTakesOnlyWhatItCanFinish guards against requests that come on open
// connections late in a planned stop, wait at a busy replica, and are cut off when the
// grace time is over.
func TestAStoppingDaemonTakesOnlyWhatItCanFinish(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	r := newReplica(t, "done")
	d.register("a", "s", r)
	d.put("config//all", "1 s")
	d.await("http://"+d.front+"/x", 200, "done")
	long, short := openConnection(is, d.front), openConnection(is, d.front)
	defer long.Close()
	defer short.Close()
	d.cancel()
	d.await("http://"+d.ready+"/ready", 503, "")
	time.Sleep(1300 * time.Millisecond) // Within the grace time of 3 s, after 2/5 of it.
	refusal := long.get(is, "/x", "10s")
	is.Equal(refusal.StatusCode, 503)
	is.True(refusal.Close)
	is.True(refusal.Header.Get("Retry-After") != "")
	served := short.get(is, "/x", "500ms")
	is.Equal(served.StatusCode, 200) // It ends before the daemon, whatever the replica does.
	is.NoErr(d.stop())
}

// TestRequestsGetAllOfTheGraceTime guards against a planned stop that ends the requests in
// progress long before the platform kills the process.
func TestRequestsGetAllOfTheGraceTime(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	r := newReplica(t, "done")
	d.register("a", "s", r)
	d.put("config//all", "1 s")
	d.await("http://"+d.front+"/x", 200, "done")
	bodies := make(chan string, 1)
	slow := &slowRequest{url: "http://" + d.front + "/slow/", bodies: bodies}
	go slow.run()
	<-r.arrived
	d.cancel()
	time.Sleep(2500 * time.Millisecond) // The grace time is 3 s.
	ended := len(d.ended)
	close(r.release)
	is.Equal(ended, 0) // The process would have exited and cut the request off.
	is.Equal(<-bodies, "done")
	is.NoErr(d.stop())
}

// TestAnOpenConnectionIsServedLateInAStop guards against connections that clients open before a
// stopping daemon closes its listener, and whose first request was read and got no response.
func TestAnOpenConnectionIsServedLateInAStop(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	r := newReplica(t, "done")
	d.register("a", "s", r)
	d.put("config//all", "1 s")
	d.await("http://"+d.front+"/x", 200, "done")
	d.cancel()
	d.await("http://"+d.ready+"/ready", 503, "")
	time.Sleep(time.Second) // The listener is closed after half of the grace time of 3 s.
	long, short := openConnection(is, d.front), openConnection(is, d.front)
	defer long.Close()
	defer short.Close()
	time.Sleep(800 * time.Millisecond)
	is.Equal(long.get(is, "/x", "10s").StatusCode, 503)
	served := short.get(is, "/x", "500ms")
	is.Equal(served.StatusCode, 200)
	is.True(served.Close)
	is.NoErr(d.stop())
}

// TestAResponseInAStopClosesItsConnection guards against clients that send their next request on
// a connection which the stopping daemon has closed: the request that ran there came before the
// signal, so that its response did not say so.
func TestAResponseInAStopClosesItsConnection(t *testing.T) {
	is := is.New(t)
	d := startDaemon(t)
	r := newReplica(t, "done")
	d.register("a", "s", r)
	d.put("config//all", "1 s")
	d.await("http://"+d.front+"/x", 200, "done")
	c := openConnection(is, d.front)
	defer c.Close()
	_, err := fmt.Fprint(c, "GET /slow/ HTTP/1.1\r\nHost: h\r\nId: 1\r\n\r\n")
	is.NoErr(err)
	<-r.arrived
	d.cancel()
	d.await("http://"+d.ready+"/ready", 503, "")
	close(r.release)
	response, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
	is.True(response.Close)
}
