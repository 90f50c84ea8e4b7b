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

// Echo is the receiver of the tests.
type Echo struct{}

// Size returns the length of its argument.
func (Echo) Size(data []byte, size *int) error {
	*size = len(data)
	return nil
}

func serve(t *testing.T, l *Linker) string {
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

func TestOnlyHoldersOfTheKeyConnect(t *testing.T) {
	faults := make(chan error, 8)
	address := serve(t, New(NewSecret("c", []byte("key")), WithFaults(func(_ string, err error) { faults <- err })))
	tests := []struct {
		name   string
		secret Secret
		ok     bool
	}{
		{"same", NewSecret("c", []byte("key")), true},
		{"other key", NewSecret("c", []byte("other")), false},
		{"other cluster", NewSecret("d", []byte("key")), false},
		{"no key", NewSecret("c", nil), false},
	}
	for _, test := range tests {
		client, err := New(test.secret).Connect(address)
		if (err == nil) != test.ok {
			t.Errorf("%s: %v", test.name, err)
		}
		if client != nil {
			_ = client.Close()
		}
		if !test.ok && (<-faults == nil || !strings.Contains(err.Error(), address)) {
			t.Errorf("%s: the error %v does not name the peer", test.name, err)
		}
	}
}

func TestStrangerIsNotAnswered(t *testing.T) {
	address := serve(t, New(NewSecret("c", []byte("key"))))
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
		t.Fatalf("%d bytes sent to a stranger, the challenge has %d", received, nonceBytes)
	}
}

func TestOversizedMessageIsRefused(t *testing.T) {
	address := serve(t, New(NewSecret("c", []byte("key"))))
	client, err := New(NewSecret("c", []byte("key"))).Connect(address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	var size int
	if err := client.Call("Echo.Size", make([]byte, 1<<20), &size); err != nil || size != 1<<20 {
		t.Fatalf("a message of 1 MiB: %d, %v", size, err)
	}
	if err := client.Call("Echo.Size", make([]byte, maxMessage+1), &size); err == nil {
		t.Fatal("a message beyond the bound was taken")
	}
}

func TestMutualTLS(t *testing.T) {
	authority, certificate := newCertificate(t)
	_, stranger := newCertificate(t)
	pool := x509.NewCertPool()
	pool.AddCert(authority)
	server := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	address := serve(t, New(NewSecret("c", []byte("key")), WithTLS(nil, func() *tls.Config { return server })))
	tests := []struct {
		name         string
		certificates []tls.Certificate
		ok           bool
	}{{"own certificate", []tls.Certificate{certificate}, true}, {"of another authority", []tls.Certificate{stranger}, false}, {"none", nil, false}}
	for _, test := range tests {
		config := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: test.certificates, RootCAs: pool, ServerName: "lovagedeck"}
		client, err := New(NewSecret("c", []byte("key")), WithTLS(func() *tls.Config { return config }, nil)).Connect(address)
		if (err == nil) != test.ok {
			t.Errorf("%s: %v", test.name, err)
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
