package isolator

import (
	"encoding/base64"

	"github.com/pkg/errors"
)

// prefixes are fingerprints of beginnings. In a row they are one text of base64, since a body
// has up to fifty that are recorded.
type prefixes []Fingerprint

// MarshalText implements encoding.TextMarshaler.
func (p prefixes) MarshalText() ([]byte, error) {
	packed := make([]byte, 0, prefixBytes*len(p))
	for _, f := range p {
		packed = append(packed, f[:prefixBytes]...)
	}
	return base64.RawStdEncoding.AppendEncode(nil, packed), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (p *prefixes) UnmarshalText(text []byte) error {
	packed, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil || len(packed)%prefixBytes != 0 || len(packed) > prefixBytes*maxRecorded {
		return errors.Errorf("%d bytes of beginnings are not base64 of up to %d fingerprints", len(text), maxRecorded)
	}
	list := make(prefixes, len(packed)/prefixBytes)
	for n := range list {
		copy(list[n][:], packed[prefixBytes*n:prefixBytes*(n+1)])
	}
	*p = list
	return nil
}
