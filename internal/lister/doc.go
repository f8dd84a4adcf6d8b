// Package lister follows the platform's list of live and leaving VMs.
package lister
