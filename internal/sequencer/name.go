package sequencer

import (
	"fmt"
	"regexp"
	"strings"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const maxTreeDepth = 8

var (
	accountPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,63}$`)
	partPattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$`)
)

// Name identifies a program; the id of a sub-agent is its parent's id, a dot and a suffix.
type Name struct {
	Account string `json:"account"`
	ID      string `json:"id"`
}

// Check returns a fault if the name is malformed.
func (n Name) Check() *classifier.Fault {
	if !accountPattern.MatchString(n.Account) {
		return classifier.New(classifier.BadRequest, classifier.RanNo, "account %q does not match %s", n.Account, accountPattern)
	}
	parts := strings.Split(n.ID, ".")
	for _, p := range parts {
		if !partPattern.MatchString(p) {
			return classifier.New(classifier.BadRequest, classifier.RanNo, "program id %q does not match %s between dots", n.ID, partPattern)
		}
	}
	if len(parts) > maxTreeDepth {
		return classifier.New(classifier.TooDeep, classifier.RanNo, "program id %q has more than %d levels", n.ID, maxTreeDepth)
	}
	return nil
}

// Root returns the name of the root program of the tree.
func (n Name) Root() Name {
	id, _, _ := strings.Cut(n.ID, ".")
	return Name{Account: n.Account, ID: id}
}

// Parent returns the name of the parent, and false for a root.
func (n Name) Parent() (Name, bool) {
	i := strings.LastIndexByte(n.ID, '.')
	if i < 0 {
		return Name{}, false
	}
	return Name{Account: n.Account, ID: n.ID[:i]}, true
}

// Partition returns the partition that owns the program's tree.
func (n Name) Partition(partitions int) int {
	return leaser.PartitionOf("tree/"+n.Account+"/"+n.Root().ID, partitions)
}

// String returns ACCOUNT~ID, the name under which engines hold the program's memory.
func (n Name) String() string { return n.Account + "~" + n.ID }

// ParseName parses the form that String returns, and reports whether it is valid.
func ParseName(s string) (Name, bool) {
	account, id, ok := strings.Cut(s, "~")
	n := Name{Account: account, ID: id}
	return n, ok && n.Check() == nil
}

func (n Name) rowKey() string { return "program/" + n.Account + "/" + n.ID }

func (n Name) turnPrefix() string { return "turn/" + n.Account + "/" + n.ID + "/" }

func (n Name) turnKey(number int) string { return fmt.Sprintf("%s%06d", n.turnPrefix(), number) }
