package server

import (
	"bytes"
	"runtime/pprof"
	"strings"

	"pimentorail.example/pimentorail/internal/logger"
)

// maxStacks bounds the lines of one dump.
const maxStacks = 256

// logStacks logs the stacks of all goroutines, a line for those with the same stack. The most
// frequent come first.
func logStacks(l *logger.Logger) {
	var text bytes.Buffer
	_ = pprof.Lookup("goroutine").WriteTo(&text, 1) // A buffer takes everything.
	for i, group := range strings.Split(strings.TrimSpace(text.String()), "\n\n") {
		if i == maxStacks {
			break
		}
		l.Event("server", "stacks").Str("text", group).End()
	}
}
