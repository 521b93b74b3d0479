package demo

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/juju/errors"
)

const (
	directoryMode = 0o700
	settingsMode  = 0o600
)

// loopbackPorts are the ports of one daemon. For 0 the system chooses a port.
type loopbackPorts struct {
	callers   int
	operators int
	daemons   int
	metrics   int
}

// certificateFiles are the paths of a daemon's certificate files.
type certificateFiles struct {
	certificate string
	key         string
	authority   string
}

// inMemoryCertificates returns placeholders for the file paths, for daemons that
// get their certificates in memory.
func inMemoryCertificates() certificateFiles {
	return certificateFiles{certificate: "(memory)", key: "(memory)", authority: "(memory)"}
}

// settings returns the contents of a daemon's settings file.
func (s *System) settings(i int, platform string, ports loopbackPorts, pem certificateFiles) string {
	plain := !s.options.TLS
	return fmt.Sprintf(`{
  "name": "entry-%d",
  "zone": "%s",
  "callers": {"address": "127.0.0.1:%d", "plain": %t},
  "operators": {"address": "127.0.0.1:%d", "plain": %t, "key": "%s"},
  "daemons": {"address": "127.0.0.1:%d"},
  "metrics": {"address": "127.0.0.1:%d", "plain": %t},
  "platform": {"url": "%s", "plain": %t},
  "engines": {"plain": %t},
  "tls": {"certificate-file": "%s", "key-file": "%s", "authority-file": "%s"}
}
`, i+1, s.deployment.Zones[i%len(s.deployment.Zones)],
		ports.callers, plain, ports.operators, plain, s.Ready.OperatorKey, ports.daemons, ports.metrics, plain,
		platform, plain, plain, pem.certificate, pem.key, pem.authority)
}

// writeSettings writes the certificates and a settings file for each daemon.
func (s *System) writeSettings(platform string) error {
	directory := s.options.SettingsDirectory
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return errors.Annotate(err, "cannot create the settings directory")
	}
	pem, err := s.writeCertificates(directory)
	if err != nil {
		return err
	}
	for i := range DaemonCount {
		ports, err := freePorts()
		if err != nil {
			return err
		}
		path := filepath.Join(directory, "entry-"+strconv.Itoa(i+1)+".json")
		if err := os.WriteFile(path, []byte(s.settings(i, platform, ports, pem)), settingsMode); err != nil {
			return errors.Annotate(err, "cannot write settings")
		}
		s.Ready.Callers = append(s.Ready.Callers, s.scheme()+loopback(ports.callers))
		s.Ready.Operators = append(s.Ready.Operators, s.scheme()+loopback(ports.operators))
		s.Ready.Metrics = append(s.Ready.Metrics, s.scheme()+loopback(ports.metrics))
	}
	return nil
}

func (s *System) writeCertificates(directory string) (certificateFiles, error) {
	certificate, key, err := s.certificates.PEM()
	if err != nil {
		return certificateFiles{}, err
	}
	pem := certificateFiles{
		certificate: filepath.Join(directory, "certificate.pem"),
		key:         filepath.Join(directory, "key.pem"),
		authority:   filepath.Join(directory, "authority.pem"),
	}
	for path, content := range map[string][]byte{
		pem.certificate: certificate,
		pem.key:         key,
		pem.authority:   s.certificates.AuthorityPEM(),
	} {
		if err := os.WriteFile(path, content, settingsMode); err != nil {
			return certificateFiles{}, errors.Annotate(err, "cannot write certificates")
		}
	}
	return pem, nil
}

func loopback(port int) string {
	return "127.0.0.1:" + strconv.Itoa(port)
}

// freePorts returns four ports that nothing is listening on at the moment. It
// holds all four before releasing any, so that they differ.
func freePorts() (loopbackPorts, error) {
	var ports [4]int
	var listeners [4]*net.TCPListener
	for i := range ports {
		listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return loopbackPorts{}, errors.Annotate(err, "cannot find a free port")
		}
		listeners[i] = listener
		ports[i] = listener.Addr().(*net.TCPAddr).Port
	}
	for _, listener := range listeners {
		if err := listener.Close(); err != nil {
			return loopbackPorts{}, errors.Trace(err)
		}
	}
	return loopbackPorts{callers: ports[0], operators: ports[1], daemons: ports[2], metrics: ports[3]}, nil
}
