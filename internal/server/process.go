package server

import (
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"golang.org/x/sys/unix"

	"pimentorail.example/pimentorail/internal/logger"
)

// logStart logs the names of the process and the limits that decide whether it survives.
func (d *Daemon) logStart() {
	o := d.options
	l := d.logger.Event("server", "start").Str("name", o.Name).Str("zone", o.Zone).Str("front", o.ClientAddress).
		Str("vm", o.VM).Int("pid", os.Getpid()).Str("build", buildVersion()).Str("go", runtime.Version()).
		Int("memory-limit", int(o.MemoryBytes)).Int("heap-limit", int(debug.SetMemoryLimit(-1))).Int("processors", runtime.GOMAXPROCS(0))
	appendLimit(l, "address-space-limit", unix.RLIMIT_AS)
	appendLimit(l, "files-limit", unix.RLIMIT_NOFILE)
	appendLimit(l, "processes-limit", unix.RLIMIT_NPROC)
	l.End()
	if len(o.Unsupported) > 0 {
		d.logger.Event("server", "settings unsupported").Str("settings", strings.Join(o.Unsupported, " ")).End()
	}
}

// buildVersion returns the version of the module and the revision that it was built from.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += "+" + s.Value
		}
	}
	return version
}

// appendLimit adds the current limit of a resource, unless it can't be read.
func appendLimit(l *logger.Line, name string, resource int) {
	var limit unix.Rlimit
	switch err := unix.Getrlimit(resource, &limit); {
	case err != nil:
	case limit.Cur == unix.RLIM_INFINITY:
		l.Str(name, "unlimited")
	default:
		l.Uint(name, limit.Cur)
	}
}
