package routed

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// settingsLook is how often the settings file is looked at: it may change without
// a signal.
const settingsLook = 1 * time.Second

// Process is a Router or a Control.
type Process interface {
	SetSeeds(seeds []string)
	Shutdown()
}

// Supervision is what a process is run under.
type Supervisor struct {
	Path string // of the settings file
	// Seeds reads the file and returns the seeds. An error leaves all as it is: the
	// file may be half written, and is read again when it changes.
	ReadSeeds func() ([]string, error)
	Failure   <-chan error // ends the process; nil: never
	Log       zerolog.Logger
}

// Signals catches the signals that a process heeds. It is called before the
// process starts: one that comes meanwhile would end it.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return signals
}

// Run follows signals, the settings file and faults until the process ends.
func (s *Supervisor) Run(p Process, signals <-chan os.Signal) error {
	look := time.NewTicker(settingsLook)
	defer look.Stop()
	changed := newFileWatch(s.Path)
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				s.Log.Info().Str("signal", sig.String()).Msg("shutting down")
				p.Shutdown()
				s.Log.Info().Msg("ended")
				return nil
			}
			s.reload(p)
		case <-look.C:
			if changed.look() {
				s.reload(p)
			}
		case err := <-s.Failure:
			s.Log.Error().Err(err).Msg("this process stops")
			return err
		}
	}
}

func (s *Supervisor) reload(p Process) {
	seeds, err := s.ReadSeeds()
	if err != nil {
		s.Log.Warn().Err(err).Msg("settings not taken")
		return
	}
	p.SetSeeds(seeds)
	s.Log.Info().Strs("seeds", seeds).Msg("settings read")
}

// fileWatch tells when a file has changed.
type fileWatch struct {
	path  string
	size  int64
	stamp time.Time
}

func newFileWatch(path string) *fileWatch {
	f := &fileWatch{path: path}
	f.look()
	return f
}

func (f *fileWatch) look() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		return false // replaced just now; the next look sees it
	}
	changed := info.Size() != f.size || !info.ModTime().Equal(f.stamp)
	f.size, f.stamp = info.Size(), info.ModTime()
	return changed
}
