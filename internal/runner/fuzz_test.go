package runner_test

import (
	"testing"

	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/runner"
	"pimentorail.example/pimentorail/internal/sequencer"
)

// FuzzParsers guards against parsers of settings, declarations, rows and messages that
// panic on invalid input or accept it.
func FuzzParsers(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"http-address":"127.0.0.1:1","rpc-address":"127.0.0.1:2","zone":"sohar","platform-address":"127.0.0.1:3","secret":"0123456789abcdef"}`))
	f.Add([]byte(`{"session":"s","address":"a","state":"live"}`))
	f.Add([]byte(`{"accounts":[],"targets":[],"policy":{"store-outage":"go-on","queue-limit-ms":100,"new-program-limit-ms":100,"max-tokens":1,"hold-idle-ms":1000}}`))
	f.Add([]byte(`{"role":"user","content":[{"type":"text"}]}`))
	f.Add([]byte("\xff\x00[[[["))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := runner.ParseSettings(data); err == nil && (s.HTTP == "" || len(s.Secret) < 16) {
			t.Fatalf("invalid settings accepted: %+v", s)
		}
		if m, err := leaser.ParseMember(data); err == nil && m.Session == "" {
			t.Fatalf("invalid member accepted: %+v", m)
		}
		if d, err := declarer.Parse(data); err == nil && len(d.Validate()) > 0 {
			t.Fatalf("invalid declarations accepted: %+v", d)
		}
		_, _, _ = leaser.ParsePartition(leaser.PartitionKey(3), data)
		_ = sequencer.CheckMessage(data)
	})
}
