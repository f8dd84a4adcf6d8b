package storer

// VM is an entry of the reference platform's list of VMs.
type VM struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}
