package linker

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"
)

// Echo is the RPC receiver of the tests.
type Echo struct{}

// Size returns the length of its argument.
func (Echo) Size(data []byte, size *int) error {
	*size = len(data)
	return nil
}

func startServer(t *testing.T, l *Linker) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Serve(listener, map[string]any{"Echo": Echo{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

func TestConnectRequiresTheClusterKey(t *testing.T) {
	rejections := make(chan error, 8)
	address := startServer(t, New(NewSecret("c", []byte("key")), WithRejectionHandler(func(_ string, err error) { rejections <- err })))
	tests := []struct {
		name     string
		secret   Secret
		connects bool
	}{
		{"same key", NewSecret("c", []byte("key")), true},
		{"other key", NewSecret("c", []byte("other")), false},
		{"other cluster", NewSecret("d", []byte("key")), false},
		{"no key", NewSecret("c", nil), false},
	}
	for _, test := range tests {
		client, err := New(test.secret).Connect(address)
		if (err == nil) != test.connects {
			t.Errorf("%s: got error %v, want a connection: %t", test.name, err, test.connects)
		}
		if client != nil {
			_ = client.Close()
		}
		if !test.connects && (<-rejections == nil || !strings.Contains(err.Error(), address)) {
			t.Errorf("%s: got error %v, want one that names peer %s", test.name, err, address)
		}
	}
}

func TestUnauthenticatedClientGetsOnlyTheChallenge(t *testing.T) {
	address := startServer(t, New(NewSecret("c", []byte("key"))))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\n", 20))); err != nil {
		t.Fatal(err)
	}
	received := 0
	buffer := make([]byte, 1024)
	for {
		n, err := conn.Read(buffer)
		received += n
		if err != nil {
			break
		}
	}
	if received > nonceBytes {
		t.Fatalf("got %d bytes without authentication, want at most the %d bytes of the challenge", received, nonceBytes)
	}
}

func TestOversizedMessageIsRejected(t *testing.T) {
	address := startServer(t, New(NewSecret("c", []byte("key"))))
	client, err := New(NewSecret("c", []byte("key"))).Connect(address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	var size int
	if err := client.Call("Echo.Size", make([]byte, 1<<20), &size); err != nil || size != 1<<20 {
		t.Fatalf("message of 1 MiB: got %d bytes and error %v, want %d bytes and no error", size, err, 1<<20)
	}
	if err := client.Call("Echo.Size", make([]byte, maxMessageBytes+1), &size); err == nil {
		t.Fatalf("message of more than %d bytes was accepted, want an error", maxMessageBytes)
	}
}

func TestMutualTLSRequiresATrustedCertificate(t *testing.T) {
	authority, certificate := newCertificate(t)
	_, untrusted := newCertificate(t)
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	server := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	address := startServer(t, New(NewSecret("c", []byte("key")), WithTLS(nil, func() *tls.Config { return server })))
	tests := []struct {
		name         string
		certificates []tls.Certificate
		connects     bool
	}{{"trusted certificate", []tls.Certificate{certificate}, true}, {"certificate of another authority", []tls.Certificate{untrusted}, false}, {"no certificate", nil, false}}
	for _, test := range tests {
		config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: test.certificates, RootCAs: pool, ServerName: "lovagedeck"}
		client, err := New(NewSecret("c", []byte("key")), WithTLS(func() *tls.Config { return config }, nil)).Connect(address)
		if (err == nil) != test.connects {
			t.Errorf("%s: got error %v, want a connection: %t", test.name, err, test.connects)
		}
		if client != nil {
			_ = client.Close()
		}
	}
}

func newCertificate(t *testing.T) (*x509.Certificate, tls.Certificate) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "lovagedeck"}, DNSNames: []string{"lovagedeck"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return parsed, tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}
