// Package reporter serves a daemon's metrics in the Prometheus form.
package reporter
