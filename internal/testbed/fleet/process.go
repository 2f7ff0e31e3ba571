package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is one daemon or stand-in of the fleet.
type process struct {
	name, program string
	args, env     []string
	log           string
	running       *exec.Cmd
	ended         chan struct{}
}

func (p *process) start(bin string) error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	running := exec.Command(filepath.Join(bin, p.program), p.args...)
	running.Stderr, running.Stdout = out, out
	if len(p.env) > 0 {
		running.Env = append(os.Environ(), p.env...)
	}
	// Should the desk die, its processes do too.
	running.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := running.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.running, p.ended = running, ended
	go func() {
		_ = running.Wait()
		close(ended)
	}()
	return nil
}

func (p *process) up() bool {
	if p.running == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(signal syscall.Signal) {
	if p.up() {
		_ = p.running.Process.Signal(signal)
	}
}

// kill ends a process at once and waits until it is gone.
func (p *process) kill() {
	if p.up() {
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// stop asks a process to end and kills it if it does not.
func (p *process) stop(wait time.Duration) bool {
	if !p.up() {
		return true
	}
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return true
	case <-time.After(wait):
		p.kill()
		return false
	}
}
