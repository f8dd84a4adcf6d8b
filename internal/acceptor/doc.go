// Package acceptor opens listeners and accepts connections, and retries after errors that
// pass without a change to the settings or the program.
//
// An address that another process still uses, such as a predecessor that drains, is free
// later, and descriptors and buffers that ran out come back. IsPassing tells such errors of
// a listen call from final ones. An error of an accept call never ends a listener; only
// closing it does.
package acceptor
