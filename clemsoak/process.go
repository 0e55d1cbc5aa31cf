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
	// restartDelay is the time after which a process that ended is started again.
	restartDelay = 300 * time.Millisecond
	// endMargin is the time that a process may take beyond its grace time.
	endMargin = time.Second
)

// spawner starts processes that end with this one. The kernel ties them to the
// thread that started them, so that all are started by one that stays.
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
				// The thread ends with this goroutine and takes along what still runs.
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

// process is a program that is started again whenever it ends.
type process struct {
	name    string
	path    string
	env     []string
	log     *os.File
	spawner *spawner
	// started is told of each start, ended of each end and whether it was asked for.
	started func()
	ended   func(isAsked bool, err error)

	// incarnation is the number of starts.
	incarnation atomic.Int64
	mu          sync.Mutex
	running     *os.Process
	// isAsked is set when the end of the running one was asked for.
	isAsked bool
	paused  int
	done    chan struct{}
}

// run keeps the program running until the context ends, and then ends it.
func (p *process) run(ctx context.Context) {
	for ctx.Err() == nil {
		command := exec.Command(p.path)
		command.Env, command.Stdout, command.Stderr = p.env, p.log, p.log
		if err := p.spawner.start(command); err != nil {
			p.ended(false, err)
			return
		}
		done := make(chan struct{})
		p.mu.Lock()
		p.running, p.isAsked, p.paused, p.done = command.Process, false, 0, done
		p.mu.Unlock()
		p.incarnation.Add(1)
		p.started()
		stop := context.AfterFunc(ctx, p.kill)
		err := command.Wait()
		stop()
		p.mu.Lock()
		isAsked := p.isAsked
		p.running = nil
		p.mu.Unlock()
		close(done)
		p.ended(isAsked || ctx.Err() != nil, err)
		sleep(ctx, restartDelay)
	}
}

// kill ends the program at once.
func (p *process) kill() { p.ask(syscall.SIGKILL) }

// ask sends a signal that ends the program, and returns a channel that is
// closed when it has ended, or nil if it does not run.
func (p *process) ask(signal syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running == nil {
		return nil
	}
	p.isAsked = true
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

// pause stops the program until the returned function is called.
func (p *process) pause() func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	paused := p.running
	if paused == nil {
		return func() {}
	}
	if p.paused++; p.paused == 1 {
		_ = paused.Signal(syscall.SIGSTOP)
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.running != paused {
			return
		}
		if p.paused--; p.paused == 0 {
			_ = paused.Signal(syscall.SIGCONT)
		}
	}
}

// sleep waits, and returns false if the context ended first.
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
