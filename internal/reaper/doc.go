// Package reaper releases engine memory that is held for programs that no longer need it.
//
// The owner of a replica asks the engine for which programs it holds memory, and the
// owners of these programs which of them are gone. The reaper keeps no record of its own,
// so neither a crash between holding and recording nor a lost cache event leaks memory.
package reaper
