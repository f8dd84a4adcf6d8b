package leaser

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
)

const (
	partitionPrefix = "partition/"
	markerKey       = "partition-marker"
)

// Partition is a partition's row in the table service, which names its owner.
type Partition struct {
	// Session is the owner's session.
	Session string `json:"session"`
	Address string `json:"address"`
	// Epoch counts the transfers of the partition; see Fence.
	Epoch uint64 `json:"epoch"`
}

// PartitionOf returns the partition of a key.
func PartitionOf(key string, partitions int) int {
	return int(xxhash.Sum64String(key) % uint64(partitions))
}

// PartitionKey returns the row key of a partition.
func PartitionKey(p int) string { return fmt.Sprintf("%s%05d", partitionPrefix, p) }

// Fence proves ownership of a partition; its condition fails once another daemon owns it.
type Fence struct {
	Partition int
	// Version is the version that the store gave the partition row; Condition compares it.
	Version uint64
	// Epoch is stored in the row and counts the transfers of the partition: each
	// acquisition and each handover adds one.
	Epoch uint64
}

// Condition returns the condition of a journal write under this fence.
func (f Fence) Condition() storer.Condition {
	return storer.Condition{Key: PartitionKey(f.Partition), Version: f.Version}
}

// ParsePartition checks and decodes a partition row and its number.
func ParsePartition(key string, data []byte) (int, Partition, error) {
	var p Partition
	n, err := strconv.Atoi(strings.TrimPrefix(key, partitionPrefix))
	if err != nil || n < 0 {
		return 0, p, errors.Errorf("partition row: key %q has no number", key)
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return 0, p, errors.Wrapf(err, "partition row %d", n)
	}
	return n, p, nil
}
