package clemsoak

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// restartDelay is the time after which a process that exited is restarted.
	restartDelay = 300 * time.Millisecond
	// exitMargin is the time that a process may take to exit beyond its grace
	// period.
	exitMargin = time.Second
)

// spawner starts processes that are killed when this process ends. The kernel
// sends their parent-death signal when the thread that started them exits, so a
// single long-lived thread starts them all.
type spawner struct {
	commands chan *exec.Cmd
	started  chan error
}

// newSpawner returns a spawner that works until the context ends.
func newSpawner(ctx context.Context) *spawner {
	s := &spawner{commands: make(chan *exec.Cmd), started: make(chan error)}
	go func() {
		runtime.LockOSThread()
		for {
			select {
			case command := <-s.commands:
				s.started <- command.Start()
			case <-ctx.Done():
				// The thread exits with this goroutine, which kills the processes that
				// still run.
				return
			}
		}
	}()
	return s
}

func (s *spawner) start(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	s.commands <- command
	return <-s.started
}

// process is a program that is restarted whenever it exits.
type process struct {
	name    string
	path    string
	env     []string
	log     *os.File
	spawner *spawner
	// onStart is called after each start, onExit after each exit with whether
	// the exit was requested.
	onStart func()
	onExit  func(isRequested bool, err error)

	// incarnation is the number of starts.
	incarnation atomic.Int64
	mu          sync.Mutex
	running     *os.Process
	// isRequested is set once the running program was told to exit.
	isRequested bool
	pauseCount  int
	done        chan struct{}
}

// run keeps the program running until the context ends, and then kills it.
func (p *process) run(ctx context.Context) {
	for ctx.Err() == nil {
		command := exec.Command(p.path)
		command.Env, command.Stdout, command.Stderr = p.env, p.log, p.log
		if err := p.spawner.start(command); err != nil {
			p.onExit(false, err)
			return
		}
		done := make(chan struct{})
		p.mu.Lock()
		p.running, p.isRequested, p.pauseCount, p.done = command.Process, false, 0, done
		p.mu.Unlock()
		p.incarnation.Add(1)
		p.onStart()
		stop := context.AfterFunc(ctx, p.kill)
		err := command.Wait()
		stop()
		p.mu.Lock()
		isRequested := p.isRequested
		p.running = nil
		p.mu.Unlock()
		close(done)
		p.onExit(isRequested || ctx.Err() != nil, err)
		sleep(ctx, restartDelay)
	}
}

// kill sends SIGKILL.
func (p *process) kill() { p.terminate(syscall.SIGKILL) }

// terminate sends a signal that makes the program exit. It returns a channel that
// is closed when the program has exited, or nil if it does not run.
func (p *process) terminate(signal syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return nil
	}
	p.isRequested = true
	_ = p.running.Signal(signal)
	return p.done
}

// reload sends SIGHUP.
func (p *process) reload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		_ = p.running.Signal(syscall.SIGHUP)
	}
}

// pause suspends the program until the returned function is called.
func (p *process) pause() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.running
	if paused == nil {
		return func() {}
	}
	if p.pauseCount++; p.pauseCount == 1 {
		_ = paused.Signal(syscall.SIGSTOP)
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.running != paused {
			return
		}
		if p.pauseCount--; p.pauseCount == 0 {
			_ = paused.Signal(syscall.SIGCONT)
		}
	}
}

// sleep waits for the given time and returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
