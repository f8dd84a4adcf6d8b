package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/relayer"
	"pimentorail.example/pimentorail/internal/storer"
)

// TestASecretThatIsOddForAMomentIsReadAgain guards against a daemon without peers for good,
// because another writer replaced the deployment's secret for a moment while it started.
func TestASecretThatIsOddForAMomentIsReadAgain(t *testing.T) {
	for name, value := range map[string]string{"empty": "", "not base64": `unreadable value: "?!"`, "number": "7"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newZone(t)
				defer z.stop()
				time.Sleep(time.Second)
				ctx := context.Background()
				secret, err := z.store.Get(ctx, "relay/shared/secret")
				is.NoErr(err)
				put := func(value []byte) {
					_, err := z.store.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: "relay/shared/secret", Value: value}}})
					is.NoErr(err)
				}
				put([]byte(value))
				x, p := z.startWaiting(z.ctx, "new")
				close(p.free)
				time.Sleep(2 * time.Second)
				put(secret.Value)
				time.Sleep(time.Minute)
				if err := x.Call(ctx, "a", "Relay.Join", relayer.JoinRequest{Name: "new", Address: "new", Process: "new"}, &relayer.JoinReply{}); err != nil {
					t.Errorf("a minute after the secret was right again: %v", err)
				}
			})
		})
	}
}
