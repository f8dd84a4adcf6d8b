package storer

// Machine is an entry of the platform's list of VMs.
type Machine struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
}
