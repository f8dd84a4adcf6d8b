// Package attributor attributes the time of programs to the phases of their requests,
// from the daemons' log lines.
//
// The report compares programs that missed their deadline with programs that met it.
package attributor
