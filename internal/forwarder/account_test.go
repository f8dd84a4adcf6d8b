package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/scoper"
	"pimentorail.example/pimentorail/internal/storer"
)

// applyAccounts adds accounts to the configuration; each has its name as its key. All routes are
// public, so that clients without an account reach them too.
func (f *fixture) applyAccounts(names ...string) *fixture {
	f.t.Helper()
	var list []*cataloger.Account
	for _, n := range names {
		list = append(list, cataloger.NewAccount(n, cataloger.DigestKey(n)))
	}
	c, err := f.catalog.Current().WithAccounts(list)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, prefix := range []string{"/safe/", "/unsafe/", "/turn/", "/stream/"} {
		if r := c.Match("h", prefix); r != nil {
			r.Public = true
		}
	}
	*f.catalog = cataloger.Keeper{}
	f.catalog.Apply(c)
	return f
}

// sendFor sends a request of an account, or with an empty name of a client without one.
func (f *fixture) sendFor(account, id, target, body string, header ...string) response {
	f.t.Helper()
	if account != "" {
		header = append(header, "Authorization", "Bearer "+account)
	}
	return f.sendAs(context.Background(), id, "POST", target, body, header...)
}

// keys returns the keys of the store's rows that begin with a prefix.
func (f *fixture) keys(prefix string) []string {
	f.t.Helper()
	rows, err := f.store.Scan(context.Background(), prefix, "", 1000)
	if err != nil {
		f.t.Fatal(err)
	}
	var keys []string
	for _, r := range rows {
		keys = append(keys, r.Key)
	}
	return keys
}

// TestATurnOfAnotherAccountDoesNotExist guards against a turn that runs with another account's
// history, and against a response that tells that such a turn exists.
func TestATurnOfAnotherAccountDoesNotExist(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(true)).applyRoutes().applyAccounts("north", "south")
	is.Equal(f.sendFor("north", "t1", "/turn/", "north's;").status, 200)
	for _, account := range []string{"south", ""} {
		gets := f.store.Counts().Reads
		missing := f.sendFor(account, "t2", "/turn/", "more", "Parent", "t0")
		readsOfMissing := f.store.Counts().Reads - gets
		gets = f.store.Counts().Reads
		foreign := f.sendFor(account, "t2", "/turn/", "more", "Parent", "t1")
		is.Equal(missing.status, 404)
		is.Equal(foreign.status, 404)
		is.True(strings.Contains(foreign.body, "1012"))
		is.Equal(foreign.body, strings.ReplaceAll(missing.body, "t0", "t1"))
		is.Equal(f.store.Counts().Reads-gets, readsOfMissing)
		foreign.header.Del("Date")
		missing.header.Del("Date")
		is.Equal(foreign.header, missing.header)
	}
	is.Equal(len(f.received()), 1)
	is.Equal(f.sendFor("south", "t1", "/turn/", "south's;").status, 200) // The same id as north's.
	is.Equal(f.sendFor("", "t1", "/turn/", "nobody's;").status, 200)
	for account, input := range map[string]string{"north": "north's;", "south": "south's;", "": "nobody's;"} {
		is.Equal(f.sendFor(account, "t3", "/turn/", "more", "Parent", "t1").status, 200)
		is.Equal(f.lastArrival().body, input+"word0\nword1\nmore")
	}
}

// TestRowsWithoutAnAccountAreNotRead guards against a turn that runs with a history of which no
// row says whose it is, and against its bytes in a row of an account.
func TestRowsWithoutAnAccountAreNotRead(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(true)).applyRoutes()
	is.Equal(f.sendFor("", "t1", "/turn/", "former;").status, 200)
	f.applyAccounts("north")
	is.Equal(f.sendFor("north", "t2", "/turn/", "more", "Parent", "t1").status, 404)
	is.Equal(f.sendFor("", "t2", "/turn/", "more", "Parent", "t1").status, 404)
	is.Equal(f.sendFor("north", "t1", "/turn/", "north's;").status, 200)
	*f.catalog = cataloger.Keeper{}
	f.applyRoutes()
	is.Equal(f.sendFor("", "t3", "/turn/", "more", "Parent", "t1").status, 200)
	is.Equal(f.lastArrival().body, "former;word0\nword1\nmore")
	is.Equal(f.sendFor("", "t4", "/turn/", "more", "Parent", "t2").status, 404)
}

// TestNoClientNamesAScopedID guards against a client that reads an account's history by the id under
// which it is kept, at a daemon whose configuration names no accounts or another one.
func TestNoClientNamesAScopedID(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(true)).applyRoutes().applyAccounts("north", "south")
	is.Equal(f.sendFor("north", "t1", "/turn/", "north's;").status, 200)
	scoped := scoper.Of("north").ID("t1")
	is.Equal(len(f.keys("turns/")), 1)
	is.True(strings.HasSuffix(f.keys("turns/")[0], "/"+scoped))
	for _, applied := range []bool{true, false} {
		if !applied {
			*f.catalog = cataloger.Keeper{}
			f.applyRoutes()
		}
		for _, line := range []string{"Parent:" + scoped, "Parent: " + scoped, "Parent:\t " + scoped, "Parent:\r\n " + scoped, "Parent: \r\n\t" + scoped, "Parent:  \"" + scoped + "\""} {
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			is.NoErr(err)
			_, err = fmt.Fprintf(conn, "POST /turn/ HTTP/1.1\r\nHost: h\r\nId: t2\r\nAuthorization: Bearer south\r\n%s\r\nContent-Length: 2\r\n\r\nin", line)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.True(resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusBadRequest)
			is.NoErr(conn.Close())
		}
	}
	is.Equal(len(f.received()), 1)
}

// TestBudgetsOfAccountsAreSeparate guards against a program whose budget another account's program
// with the same id has spent.
func TestBudgetsOfAccountsAreSeparate(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(true)).applyRoutes().applyAccounts("north", "south")
	for _, account := range []string{"north", "south", ""} {
		for n := range 2 {
			is.Equal(f.sendFor(account, fmt.Sprint("t", n), "/turn/", "in", "Budget", "40").status, 200)
		}
		r := f.sendFor(account, "t2", "/turn/", "in", "Budget", "40")
		is.Equal(r.status, http.StatusPaymentRequired)
		is.True(strings.Contains(r.body, `program \"p\"`)) // The client's own id, not the scoped one.
	}
}

// TestBudgetsWithoutAnAccountAreNotUsed guards against a program of an account that spends, or finds
// spent, a budget of which no row says whose it is.
func TestBudgetsWithoutAnAccountAreNotUsed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(true)).applyRoutes()
	run := func(account string) int { return f.sendFor(account, "t", "/turn/", "in", "Budget", "20").status }
	is.Equal(run(""), 200)
	is.Equal(run(""), http.StatusPaymentRequired)
	f.applyAccounts("north")
	is.Equal(run("north"), 200)
	is.Equal(run("north"), http.StatusPaymentRequired)
	rows := len(f.keys("budgets/"))
	*f.catalog = cataloger.Keeper{}
	f.applyRoutes()
	is.Equal(run(""), http.StatusPaymentRequired)
	is.Equal(rows, 2)
}

// TestAStreamOfAnotherAccountIsNotRecorded guards against a resumption of another account's stream,
// and against a response that tells that it exists.
func TestAStreamOfAnotherAccountIsNotRecorded(t *testing.T) {
	is := is.New(t)
	f := newVersionedFixture(t, "v1", "v2").applyAccounts("north", "south")
	f.sendFor("north", "s1", "/stream/", "x")
	time.Sleep(recordTime)
	resume := func(account, stream string) response {
		return f.sendFor(account, "r1", "/stream/", "x", "Resumes", stream, "Last-Event", "1")
	}
	arrived := len(f.received())
	for _, account := range []string{"south", ""} {
		foreign, missing := resume(account, "s1"), resume(account, "s0")
		is.Equal(foreign.status, 503)
		is.Equal(foreign.body, strings.ReplaceAll(missing.body, "s0", "s1"))
		is.True(strings.Contains(foreign.body, "4007"))
	}
	is.Equal(len(f.received()), arrived)
	resume("north", "s1")
	is.Equal(len(f.received()), arrived+1)
}

// TestACrashOfOneAccountCondemnsNoOther guards against requests that are refused because equal ones
// of another account crashed replicas.
func TestACrashOfOneAccountCondemnsNoOther(t *testing.T) {
	is := is.New(t)
	f := newFixture(t).applyRoutes().applyAccounts("north", "south")
	c := &crashes{}
	f.startCrashing(8, c)
	status := 0
	for n := range 4 * maxHeld {
		r := f.sendFor("north", fmt.Sprint("c", n), "/safe/", crashingBody, "Body", crashingBody)
		if status = r.status; status == http.StatusBadGateway && strings.Contains(r.body, "it began and did not finish") {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(status, http.StatusBadGateway)
	for _, body := range []string{crashingBody, crashingBody + " and more", crashingBody[:16]} {
		for n := range 3 {
			is.Equal(f.sendFor("south", fmt.Sprint("h", n), "/safe/", body).status, 200)
			is.Equal(f.sendFor("", fmt.Sprint("h", n), "/safe/", body).status, 200)
		}
	}
	is.Equal(f.sendFor("north", "c", "/safe/", crashingBody, "Body", crashingBody).status, http.StatusBadGateway)
}

// TestAnErrorOfTheStoreNamesNoScope guards against keys of rows and scoped ids in the responses to
// clients.
func TestAnErrorOfTheStoreNamesNoScope(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, streamEvents(true)).applyRoutes().applyAccounts("north")
	is.Equal(f.sendFor("north", "t1", "/turn/", "in").status, 200)
	keys := f.keys("turns/")
	is.Equal(len(keys), 1)
	_, err := f.store.Commit(t.Context(), storer.Transaction{Writes: []storer.Write{{Key: keys[0], Value: []byte("odd")}}})
	is.NoErr(err)
	f.startForwarder(t.Context()) // With empty memory.
	r := f.sendFor("north", "t2", "/turn/", "in", "Parent", "t1")
	is.Equal(r.status, 503)
	_, scoped, _ := strings.Cut(strings.TrimPrefix(keys[0], "turns/"), "/")
	account, _, _ := strings.Cut(strings.TrimSpace(scoped), ":")
	is.Equal(len(account), 32)
	is.True(!strings.Contains(r.body, account))
}
