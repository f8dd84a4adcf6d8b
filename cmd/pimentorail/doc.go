// Command pimentorail runs the daemons, the operator's commands, the stand-ins
// for the outside systems and the load tool.
package main
