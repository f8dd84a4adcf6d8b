package seeder

import (
	"flag"
	"io"

	"k8s.io/klog/v2"
)

const seed = "20261204"

// Prepare sets the default seed of the property tests, turns off rapid's fail files and
// discards log output. Call it in TestMain.
func Prepare() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", seed)
	}
	if flag.Lookup("rapid.nofailfile") != nil {
		_ = flag.Set("rapid.nofailfile", "true")
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
}
