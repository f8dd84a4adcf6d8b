// Package listener serves callers over HTTP: model calls in the OpenAI chat-completions
// format, service calls, and programs.
//
// Request headers name the program, the call's number and its idempotency key. The body of
// a failed request holds an error code, whether the request ran and when to retry. A
// streamed answer gets its end marker only after it is recorded.
package listener
