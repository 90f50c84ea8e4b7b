// Client and server prove to each other that they hold the key of the cluster
// before the first call:
//
//	server -> client  nonce of the server
//	client -> server  magic, nonce of the client, HMAC("client", cluster, both nonces)
//	server -> client  HMAC("server", cluster, both nonces)

package linker

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	magic            = "lvd1"
	nonceBytes       = 32
	handshakeTimeout = 3 * time.Second
)

// ErrUnauthenticated is returned if the peer does not prove that it holds the key of this cluster.
var ErrUnauthenticated = errors.New("handshake: the peer does not hold the key of this cluster")

// Secret holds the name of a cluster and the key that its instances share.
type Secret struct {
	cluster string
	key     []byte
}

// NewSecret returns the secret of a cluster with a copy of key.
func NewSecret(cluster string, key []byte) Secret {
	return Secret{cluster: cluster, key: append([]byte(nil), key...)}
}

// Sign appends the message authentication code of data to it, in the memory of data if its capacity suffices.
func (s Secret) Sign(data []byte) []byte { return append(data, s.datagramMAC(data)...) }

// Verify returns the data of a signed datagram and reports whether its message authentication code is valid.
func (s Secret) Verify(datagram []byte) ([]byte, bool) {
	if len(datagram) < sha256.Size {
		return nil, false
	}
	data, mac := datagram[:len(datagram)-sha256.Size], datagram[len(datagram)-sha256.Size:]
	return data, hmac.Equal(mac, s.datagramMAC(data))
}

func (s Secret) datagramMAC(data []byte) []byte { return s.computeMAC("datagram", data, nil) }

func (s Secret) serverHandshake(conn net.Conn) error {
	return withDeadline(conn, func() error {
		var challenge [nonceBytes]byte
		if _, err := rand.Read(challenge[:]); err != nil {
			return errors.Wrap(err, "handshake")
		}
		if _, err := conn.Write(challenge[:]); err != nil {
			return errors.Wrap(err, "handshake")
		}
		response := make([]byte, len(magic)+nonceBytes+sha256.Size)
		if _, err := io.ReadFull(conn, response); err != nil {
			return errors.Wrap(err, "handshake")
		}
		nonce := response[len(magic) : len(magic)+nonceBytes]
		mac := response[len(magic)+nonceBytes:]
		if string(response[:len(magic)]) != magic || !hmac.Equal(mac, s.computeMAC("client", challenge[:], nonce)) {
			return ErrUnauthenticated
		}
		_, err := conn.Write(s.computeMAC("server", challenge[:], nonce))
		return errors.Wrap(err, "handshake")
	})
}

func (s Secret) clientHandshake(conn net.Conn) error {
	return withDeadline(conn, func() error {
		var challenge, nonce [nonceBytes]byte
		if _, err := io.ReadFull(conn, challenge[:]); err != nil {
			return errors.Wrap(err, "handshake")
		}
		if _, err := rand.Read(nonce[:]); err != nil {
			return errors.Wrap(err, "handshake")
		}
		response := append([]byte(magic), nonce[:]...)
		response = append(response, s.computeMAC("client", challenge[:], nonce[:])...)
		if _, err := conn.Write(response); err != nil {
			return errors.Wrap(err, "handshake")
		}
		var mac [sha256.Size]byte
		// The server closes the connection if it rejects the client.
		if _, err := io.ReadFull(conn, mac[:]); err != nil {
			return ErrUnauthenticated
		}
		if !hmac.Equal(mac[:], s.computeMAC("server", challenge[:], nonce[:])) {
			return ErrUnauthenticated
		}
		return nil
	})
}

func (s Secret) computeMAC(role string, challenge, nonce []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(role + "\x00" + s.cluster + "\x00"))
	mac.Write(challenge)
	mac.Write(nonce)
	return mac.Sum(nil)
}

func withDeadline(conn net.Conn, exchange func() error) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Wrap(err, "handshake")
	}
	if err := exchange(); err != nil {
		return err
	}
	return errors.Wrap(conn.SetDeadline(time.Time{}), "handshake")
}
