// Package platformapi holds the protocols of the platform's configuration service
// and VM list, and clients for them. Both protocols are HTTP with JSON bodies.
package platformapi

import "github.com/goldcrestmux/goldcrestmux/wire"

// Paths of the configuration service and of the VM list.
const (
	// PathManifest returns a Manifest. With ?after=REVISION&wait=DURATION it is
	// a watch: the response is sent once the revision is above REVISION, or
	// with status 204 after DURATION.
	PathManifest = "/v1/folder"
	// PathFile + NAME returns the file's content, with its hash in HeaderSHA256.
	PathFile = "/v1/folder/"
	// PathVMs returns a VMList. ?from=DATACENTRE names the client's data centre.
	// With &known=SEQUENCE it returns status 204 if the list still has that
	// sequence number.
	PathVMs = "/v1/vms"
)

// HeaderSHA256 carries the SHA-256 of a file's content in hex.
const HeaderSHA256 = "Content-Sha256"

// HeaderDataCentre names the data centre of a client, on each request to a
// service of the platform or to a target.
const HeaderDataCentre = "Client-Data-Centre"

// Manifest lists the files of one revision of the folder, which is the operators'
// configuration directory.
type Manifest struct {
	Revision uint64         `json:"revision"`
	Files    []ManifestFile `json:"files"`
}

// ManifestFile is one file of a Manifest.
type ManifestFile struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
}

// VMList is the platform's list of VMs. It lags behind the actual state.
type VMList struct {
	// Sequence increases with each change of the list.
	Sequence uint64 `json:"sequence"`
	VMs      []VM   `json:"vms"`
}

// VM is one entry of a VMList.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Leaving is true once the platform has decided to stop the VM.
	Leaving bool `json:"leaving,omitempty"`
	// Links maps a role ("gateway", "relay") to the host and port of its link listener.
	Links map[wire.Role]string `json:"links"`
}
