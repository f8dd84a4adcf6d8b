// Package signaler receives the signals of a daemon from before the program's packages are
// initialised.
//
// By default SIGHUP, SIGINT and SIGTERM end a process without a line, also while its packages
// are being initialised, which takes milliseconds, and longer on a busy machine. Packages are
// initialised in the order of their import paths once those that they import are, so a package
// that imports little is initialised early, before the libraries with long initialisation. This
// one therefore imports only os/signal and packages that os/signal imports itself; another
// import would delay it.
//
// It is imported by package main alone, since the import changes how the process reacts to
// signals. A command calls Reset for the signals that it doesn't handle.
package signaler
