// Package lister polls the reference platform's list of VMs and reports which of
// them are leaving.
package lister
