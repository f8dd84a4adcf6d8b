// Command pimentorail runs the daemons, the operators' commands, the fakes of external
// systems and the load generator.
package main
