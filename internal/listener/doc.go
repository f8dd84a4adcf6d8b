// Package listener serves callers over HTTP: model calls in the OpenAI
// chat-completions form, service calls, and programs.
//
// Headers name the program, the call's number and its idempotency key. Every
// failure has a body with its number, whether the request ran and when to come
// back. A streamed answer ends with its end marker only after it is recorded.
package listener
