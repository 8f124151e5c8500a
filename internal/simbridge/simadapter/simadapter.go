// Package simadapter runs placers under the simulator: it translates the simulator's events for a placer and the
// placer's actions for the simulator. Each scheduler instance has a Placer of its own; instances share nothing. The
// command cmd/simadapter calls Run, which is where to begin reading.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"heathshed/internal/simbridge/simconfig"
	"heathshed/internal/simbridge/simproto"
	"heathshed/placer"
)

const inputBufferBytes = 1 << 16

// adapter owns the scheduler instances of a run and the node lists that the simulator has defined.
type adapter struct {
	instances map[uint32]*instance
	lists     [simproto.MaxNodeLists][]placer.Node
	writer    simproto.Writer
	actions   []placer.Action // reused for each event
	warnings  io.Writer
}

// Run reads batches of events from in and writes the replies to out until the input ends. For each event of an unknown
// instance it writes a line to warnings. A batch that cannot be read to its end is not answered and ends the run with an
// error.
func Run(in io.Reader, out io.Writer, warnings io.Writer) error {
	reader := simproto.NewReader(bufio.NewReaderSize(in, inputBufferBytes))
	a := &adapter{instances: map[uint32]*instance{}, warnings: warnings}
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(reader, batch); err != nil {
			return err
		}
		if _, err := out.Write(a.writer.Finish()); err != nil {
			return fmt.Errorf("reply to batch %d: %w", batch.Number, err)
		}
	}
}

// handleBatch handles all events of a batch and leaves the reply in the writer.
func (a *adapter) handleBatch(reader *simproto.Reader, batch simproto.Batch) error {
	var record simproto.Event
	a.writer.Start(batch.Number)
	for i := range batch.RecordCount {
		if err := reader.Read(&record); err != nil {
			return fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
		}
		if err := a.handleEvent(batch.Now, &record); err != nil {
			return fmt.Errorf("batch %d, record %d: %w", batch.Number, i, err)
		}
	}
	if reader.RemainingBytes() != 0 {
		return fmt.Errorf("batch %d: %d bytes follow the last record", batch.Number, reader.RemainingBytes())
	}
	return nil
}

// handleEvent handles one event of a batch at the time of the batch.
func (a *adapter) handleEvent(now placer.Seconds, record *simproto.Event) error {
	switch record.Code {
	case simproto.EventDefineList:
		a.defineList(record)
		return nil
	case simproto.EventInstanceStart:
		started, err := newInstance(record)
		if err != nil {
			return fmt.Errorf("instance %d: %w", record.Instance, err)
		}
		a.instances[record.Instance] = started
		return nil
	case simproto.EventInstanceStop:
		delete(a.instances, record.Instance)
		return nil
	}
	target := a.instances[record.Instance]
	if target == nil {
		// The run continues even if the warning cannot be written.
		_, _ = fmt.Fprintf(a.warnings, "event %d for instance %d, which has not begun: skipped\n", record.Code, record.Instance)
		return nil
	}
	event, used, err := target.translate(record, &a.lists)
	if err != nil || !used {
		return err
	}
	a.decide(now, record.Instance, target, event)
	return nil
}

// defineList replaces the node list with the record's number.
func (a *adapter) defineList(record *simproto.Event) {
	list := a.lists[record.ListNumber][:0]
	for i := range record.Entries {
		list = append(list, translateNode(&record.Entries[i]))
	}
	a.lists[record.ListNumber] = list
}

// decide passes one event to a placer and writes its actions. A panic of the placer is reported for the instance.
func (a *adapter) decide(now placer.Seconds, id uint32, target *instance, event placer.Event) {
	defer func() {
		if cause := recover(); cause != nil {
			a.writer.ReportPanic(id, fmt.Sprintf("panic: %v", cause))
		}
	}()
	a.actions = target.placer.Handle(now, event, a.actions[:0])
	for i := range a.actions {
		a.writeAction(id, &a.actions[i])
	}
}

// writeAction adds an action of a placer to the reply.
func (a *adapter) writeAction(id uint32, action *placer.Action) {
	task := uint64(action.Task)
	switch action.Kind {
	case placer.StartAttempt:
		a.writer.StartAttempt(id, task, action.Until, simproto.NodeAddress(action.Node))
	case placer.Reject:
		a.writer.Reject(id, task, action.After)
	case placer.Fail:
		a.writer.Fail(id, task)
	case placer.SetTimer:
		a.writer.SetTimer(id, action.Token, action.After)
	case placer.WatchNodes:
		a.writer.WatchNodes(id)
	case placer.Migrate:
		a.writer.Migrate(id, task)
	case placer.ListNodes:
		a.writer.ListNodes(id)
	}
}

// instance is one scheduler instance under simulation.
type instance struct {
	placer       *placer.Placer
	reportFields []string      // names of the values of a load report
	report       placer.Report // reused for each event
}

// newInstance starts an instance with the settings and the seed of the record.
func newInstance(record *simproto.Event) (*instance, error) {
	settings, err := simconfig.Parse(record.Settings)
	if err != nil {
		return nil, err
	}
	started, err := placer.New(settings.Placer, record.Seed)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return &instance{placer: started, reportFields: settings.ReportFields}, nil
}
