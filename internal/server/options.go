package server

import (
	"io"
	"net/http"
	"os"
	"time"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/forwarder"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/tracker"
)

// Options are the settings of a Daemon.
type Options struct {
	// Name names this process in logs and rows; each start has another name.
	Name string
	// Node names the VM's place, the same over restarts.
	Node string
	Zone string
	// Zones is the number of availability zones.
	Zones int
	// Front, Ready and Metrics are host:port; Metrics may be empty.
	Front, Ready, Metrics string
	// Peers is where other daemons reach this one; empty for no relaying.
	Peers string
	// ReadyPath is where readiness is asked.
	ReadyPath string
	// Grace is the time that a planned stop may take.
	Grace       time.Duration
	RowBytes    int
	MemoryBytes int64
	Output      io.Writer
	// Reloads tells that the settings changed, and Reload reads them again; both may be nil.
	Reloads <-chan os.Signal
	Reload  func() error
}

// Platform is what a Daemon needs of the platform, in the product's terms.
type Platform struct {
	Table storer.Table
	Feed  storer.Feed
	Codec forwarder.Codec
	// CatalogTable holds the configuration in its row CatalogKey.
	CatalogTable, CatalogKey string
	DecodeCatalog            func(value []byte) (*cataloger.Catalog, error)
	// ReplicaTable holds a row for each replica.
	ReplicaTable  string
	DecodeReplica func(id string, value []byte) (*tracker.Replica, error)
	// Ingress returns the handler of clients' requests.
	Ingress func(f *forwarder.Forwarder, k *cataloger.Keeper) http.Handler
}
