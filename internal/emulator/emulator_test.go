package emulator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/storer"
)

func TestTableContract(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := emulator.NewStore()
	server := httptest.NewServer(emulator.NewPlatform(s).Handler())
	t.Cleanup(server.Close)
	for _, table := range []storer.Table{s, storer.NewClient(strings.TrimPrefix(server.URL, "http://"))} {
		key := func(k string) string { return "contract/" + k }
		row, err := table.Get(ctx, key("a"))
		is.NoErr(err)
		is.Equal(row.Version, uint64(0)) // Absent.
		v, err := table.Commit(ctx, storer.Transaction{
			Conditions: []storer.Condition{{Key: key("a")}},
			Writes:     []storer.Write{{Key: key("a"), Value: []byte("1")}, {Key: key("b"), Value: []byte("2")}},
		})
		is.NoErr(err)
		_, err = table.Commit(ctx, storer.Transaction{
			Conditions: []storer.Condition{{Key: key("a"), Version: v}, {Key: key("b")}},
			Writes:     []storer.Write{{Key: key("a"), Value: []byte("3")}},
		})
		is.True(errors.Is(err, storer.ErrConflict)) // One condition fails, so nothing is written.
		row, err = table.Get(ctx, key("a"))
		is.NoErr(err)
		is.Equal(string(row.Value), "1")
		is.Equal(row.Version, v)
		rows, err := table.Scan(ctx, "contract/", key("a"), 10)
		is.NoErr(err)
		is.Equal(len(rows), 1)
		s.SetFaults(emulator.StoreFaults{LoseEvery: 1})
		_, err = table.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: key("c"), Value: []byte("x")}}})
		is.True(errors.Is(err, storer.ErrUnavailable))
		s.SetFaults(emulator.StoreFaults{})
		row, err = table.Get(ctx, key("c"))
		is.NoErr(err)
		is.Equal(string(row.Value), "x") // The write took effect before the reply was lost.
		s.SetFaults(emulator.StoreFaults{Down: true})
		_, err = table.Get(ctx, key("a"))
		is.True(errors.Is(err, storer.ErrUnavailable))
		s.SetFaults(emulator.StoreFaults{})
		_, err = table.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: key("a"), Delete: true}, {Key: key("b"), Delete: true}, {Key: key("c"), Delete: true}}})
		is.NoErr(err)
	}
}

func TestVMListLags(t *testing.T) {
	is := is.New(t)
	s := emulator.NewStore()
	s.SetFaults(emulator.StoreFaults{ListLagMS: int(time.Hour / time.Millisecond)})
	s.SetVMs([]storer.VM{{Address: "a"}})
	vms, err := s.VMs(context.Background())
	is.NoErr(err)
	is.Equal(len(vms), 0)
	s.SetFaults(emulator.StoreFaults{})
	vms, err = s.VMs(context.Background())
	is.NoErr(err)
	is.Equal(len(vms), 1)
}

func TestKVExportAndImport(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var engines []*emulator.Engine
	var urls []string
	for range 2 {
		e := emulator.NewEngine(ctx, emulator.EngineOptions{TokenGap: 100 * time.Microsecond})
		s := httptest.NewServer(e.Handler())
		t.Cleanup(s.Close)
		engines, urls = append(engines, e), append(urls, s.URL)
	}
	t.Cleanup(cancel)
	prompt := []byte(`{"messages":[{"role":"user","content":"` + strings.Repeat("moisture ", 100) + `"}],"max_tokens":3}`)
	send := func(url, id string) {
		req, err := http.NewRequest(http.MethodPost, url+"/v1/streams/"+id, bytes.NewReader(prompt))
		is.NoErr(err)
		req.Header.Set("Hold", "falaj~lot")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	send(urls[0], "one")
	resp, err := http.Get(urls[0] + "/v1/kv/falaj~lot")
	is.NoErr(err)
	var kv emulator.KV
	is.NoErr(json.NewDecoder(resp.Body).Decode(&kv))
	_ = resp.Body.Close()
	data, err := json.Marshal(kv)
	is.NoErr(err)
	req, err := http.NewRequest(http.MethodPut, urls[1]+"/v1/kv/falaj~lot", bytes.NewReader(data))
	is.NoErr(err)
	resp, err = http.DefaultClient.Do(req)
	is.NoErr(err)
	_ = resp.Body.Close()
	send(urls[1], "two")
	is.Equal(engines[1].Counts().Prefilled, 0) // The imported cache covers the complete prompt.
	is.Equal(engines[1].HeldPrograms(), []string{"falaj~lot"})
}
