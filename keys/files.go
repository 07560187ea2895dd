package keys

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"
)

// The files of a folder. An authority's folder has the first two, a process's
// folder the first and the last. The certificate and the key of a process share
// a file, so that a renewal replaces both at once.
const (
	AuthorityCertFile = "ca.crt"
	AuthorityKeyFile  = "ca.key"
	ProcessFile       = "process.pem"
)

const (
	dirMode         = 0o700
	privateFileMode = 0o600
	publicFileMode  = 0o644
)

const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// Init makes a new authority in dir. It never replaces one.
func Init(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("keys: make authority folder: %w", err)
	}
	keyPath := filepath.Join(dir, AuthorityKeyFile)
	if _, err := os.Stat(keyPath); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("keys: init %s: %w", keyPath, fs.ErrExist)
	}
	a, err := NewAuthority()
	if err != nil {
		return err
	}
	keyPEM, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	if err := writeFile(keyPath, keyPEM, privateFileMode); err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, AuthorityCertFile), encodeCert(a.cert.Raw), publicFileMode)
}

// OpenAuthority loads the authority in dir.
func OpenAuthority(dir string) (*Authority, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, AuthorityCertFile), filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, fmt.Errorf("keys: open authority %s: %w", dir, err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("keys: open authority %s: key is %T, want ECDSA", dir, pair.PrivateKey)
	}
	return &Authority{cert: pair.Leaf, key: key}, nil
}

// Issue signs a certificate for n with the authority in authorityDir and
// writes it, with its key and the authority's certificate, to dir.
func Issue(authorityDir string, n Name, validity time.Duration, dir string) error {
	a, err := OpenAuthority(authorityDir)
	if err != nil {
		return err
	}
	pair, err := a.issue(n, validity)
	if err != nil {
		return err
	}
	return a.writeProcess(dir, pair)
}

// Renew issues a new key and certificate for the name that dir already holds.
func Renew(authorityDir string, validity time.Duration, dir string) (Name, error) {
	pair, err := loadProcess(dir)
	if err != nil {
		return Name{}, err
	}
	n, err := NameOf(pair.Leaf)
	if err != nil {
		return Name{}, err
	}
	return n, Issue(authorityDir, n, validity, dir)
}

func (a *Authority) writeProcess(dir string, pair *tls.Certificate) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return fmt.Errorf("keys: make process folder: %w", err)
	}
	keyPEM, err := encodeKey(pair.PrivateKey)
	if err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, AuthorityCertFile), encodeCert(a.cert.Raw), publicFileMode); err != nil {
		return err
	}
	both := append(encodeCert(pair.Certificate[0]), keyPEM...)
	return writeFile(filepath.Join(dir, ProcessFile), both, privateFileMode)
}

func loadProcess(dir string) (*tls.Certificate, error) {
	path := filepath.Join(dir, ProcessFile)
	pair, err := tls.LoadX509KeyPair(path, path)
	if err != nil {
		return nil, fmt.Errorf("keys: load %s: %w", path, err)
	}
	return &pair, nil
}

func loadPool(dir string) (*x509.CertPool, error) {
	path := filepath.Join(dir, AuthorityCertFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("keys: load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("keys: load authority %s: no certificate in it", path)
	}
	return pool, nil
}

func encodeCert(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})
}

func encodeKey(key any) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("keys: encode key: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: der}), nil
}

// writeFile replaces path by content in one step.
func writeFile(path string, content []byte, mode os.FileMode) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("keys: write %s: %w", path, err)
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(content)
	err = errors.Join(err, tmp.Chmod(mode), tmp.Sync(), tmp.Close())
	if err != nil {
		return fmt.Errorf("keys: write %s: %w", path, err)
	}
	if err := os.Rename(tmp.Name(), path); err != nil {
		return fmt.Errorf("keys: write %s: %w", path, err)
	}
	return nil
}
