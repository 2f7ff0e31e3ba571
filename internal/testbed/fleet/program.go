package fleet

import (
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Program is one process that others than a World run: a program of a folder
// with variables of its own.
type Program struct {
	bin string
	of  process
}

// NewProgram lays a program out; it is not started yet. Its log is appended to.
//
//	program := fleet.NewProgram("bin", "core1", "controller", []string{"SETTINGS=/tmp/a"}, "/tmp/core1.log")
func NewProgram(bin, name, program string, env []string, log string) *Program {
	return &Program{bin: bin, of: process{name: name, program: program, env: env, log: log}}
}

// Start starts the program, if it does not run.
//
//	err := program.Start()
func (p *Program) Start() error { return p.of.start(p.bin) }

// Up tells whether it runs.
//
//	if program.Up() { ... }
func (p *Program) Up() bool { return p.of.up() }

// Signal sends it a signal, if it runs.
//
//	program.Signal(syscall.SIGSTOP)
func (p *Program) Signal(signal syscall.Signal) { p.of.signal(signal) }

// Kill ends it at once and waits until it is gone.
//
//	program.Kill()
func (p *Program) Kill() { p.of.kill() }

// Stop asks it to end, and kills it if it has not after a while; it tells which.
//
//	ended := program.Stop(8 * time.Second)
func (p *Program) Stop(wait time.Duration) bool { return p.of.stop(wait) }

// HasPrograms tells whether a folder holds programs of all these names.
//
//	if !fleet.HasPrograms("bin", "controller", "agent") { ... }
func HasPrograms(bin string, names ...string) bool {
	for _, name := range names {
		if about, err := os.Stat(filepath.Join(bin, name)); err != nil || about.IsDir() {
			return false
		}
	}
	return true
}
