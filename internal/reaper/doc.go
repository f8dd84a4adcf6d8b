// Package reaper frees engine memory that is held for programs that are gone.
//
// The owner of a replica compares what the engine says it holds with what the
// program owners know. It needs no record of its own, so neither a crash
// between hold and record nor a lost cache event can leak memory.
package reaper
