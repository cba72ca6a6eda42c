package disk

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

const identityFormat = 1

// Identity identifies a voter's disk. A machine that loses its disk gets another identity.
type Identity struct {
	Format      int    `json:"format"`
	ClusterName string `json:"cluster_name"`
	Voter       string `json:"voter"`      // the name in the configuration
	Identity    string `json:"identity"`   // 128 random bits in hex
	Cluster     string `json:"cluster_id"` // "" until this voter was claimed or has begun to join
	Voted       bool   `json:"voted"`      // this identity has had a vote in the cluster
}

// NewID returns 128 random bits in hex.
func NewID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// ValidID reports whether a text has the form of an id made by NewID.
func ValidID(id string) bool {
	b, err := hex.DecodeString(id)
	return err == nil && len(b) == 16 && id == strings.ToLower(id)
}

func newIdentity(cluster, voter string) Identity {
	return Identity{Format: identityFormat, ClusterName: cluster, Voter: voter, Identity: NewID()}
}

func (i Identity) encode() []byte {
	text, _ := json.MarshalIndent(i, "", "  ") // cannot fail: only strings, numbers and booleans
	return append(text, '\n')
}

func parseIdentity(text []byte) (Identity, error) {
	var f struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return Identity{}, fmt.Errorf("not a voter's identity: %w", err)
	}
	if f.Format != identityFormat {
		return Identity{}, fmt.Errorf("format %d, but this program reads format %d", f.Format, identityFormat)
	}
	var i Identity
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&i); err != nil {
		return Identity{}, fmt.Errorf("not a voter's identity: %w", err)
	}
	if _, err := d.Token(); err != io.EOF || !ValidID(i.Identity) || i.Cluster != "" && !ValidID(i.Cluster) {
		return Identity{}, fmt.Errorf("not a voter's identity")
	}
	return i, nil
}

func (i Identity) check(cluster, voter string) error {
	if i.ClusterName != cluster {
		return fmt.Errorf("the folder belongs to cluster %q, but this cluster is %q", i.ClusterName, cluster)
	}
	if i.Voter != voter {
		return fmt.Errorf("the folder belongs to voter %q, but this voter is %q", i.Voter, voter)
	}
	return nil
}
