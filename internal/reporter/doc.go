// Package reporter serves a daemon's metrics in the Prometheus text format.
package reporter
