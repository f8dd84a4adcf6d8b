package logger

import "strings"

// Writer returns a writer that queues what a library logs, one line for each write, under the
// name of a component. It never blocks and never fails.
func (r *Logger) Writer(component string) *Writer { return &Writer{logger: r, component: component} }

// Writer queues text as log lines. It implements io.Writer.
type Writer struct {
	logger    *Logger
	component string
}

// Write implements io.Writer.
func (w *Writer) Write(text []byte) (int, error) {
	w.logger.Event(w.component, "message").Str("text", strings.TrimSpace(string(text))).End()
	return len(text), nil
}
