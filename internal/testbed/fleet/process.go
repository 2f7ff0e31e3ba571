package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one daemon or stand-in of the fleet.
type process struct {
	name, program string
	args, env     []string
	log           string
	// guard is held while running and ended are read or changed: troubles overlap.
	guard   sync.Mutex
	running *exec.Cmd
	ended   chan struct{}
}

// life is the process that was started last, if any was, and what tells its end.
func (p *process) life() (*exec.Cmd, chan struct{}) {
	p.guard.Lock()
	defer p.guard.Unlock()
	return p.running, p.ended
}

// start starts the process, if it does not run.
func (p *process) start(bin string) error {
	p.guard.Lock()
	defer p.guard.Unlock()
	if p.running != nil && !over(p.ended) {
		return nil
	}
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
	running, ended := p.life()
	return running != nil && !over(ended)
}

// over tells whether a life has ended.
func over(ended chan struct{}) bool {
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

func (p *process) signal(signal syscall.Signal) {
	if running, ended := p.life(); running != nil && !over(ended) {
		_ = running.Process.Signal(signal)
	}
}

// kill ends a process at once and waits until it is gone.
func (p *process) kill() {
	if running, ended := p.life(); running != nil && !over(ended) {
		_ = running.Process.Signal(syscall.SIGKILL)
		<-ended
	}
}

// stop asks a process to end and kills it if it does not.
func (p *process) stop(wait time.Duration) bool {
	running, ended := p.life()
	if running == nil || over(ended) {
		return true
	}
	_ = running.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(wait):
		_ = running.Process.Signal(syscall.SIGKILL)
		<-ended
		return false
	}
}
