"""Hosts many fronts in one process: batches in, each front's notes to it, its orders out."""

import json

from limepath.configuration import decision_settings
from limepath.decisions.engine import DecisionEngine
from limepath.simulator_host import dialect
from limepath.simulator_host.frames import Cursor, WireError, read_frame, write_frame


class Host:
    def __init__(self):
        self.fronts = {}
        self.fields = {}

    def fields_of(self, instance):
        return self.fields.get(instance, ())

    def start(self, instance, seed, raw):
        try:
            settings = json.loads(raw)
            arguments = decision_settings.decision_arguments(settings)
            self.fields[instance] = decision_settings.load_fields(settings)
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as flaw:
            raise WireError(f"settings of instance {instance}: {type(flaw).__name__}: {flaw}") from None
        self.fronts[instance] = DecisionEngine(seed=seed, **arguments)

    def answer(self, sequence, clock, body):
        """Give the records that answer one batch."""
        cursor = Cursor(sequence, body)
        notes, faults = {}, []
        while cursor:
            instance, note = dialect.read_event(cursor, self.fields_of)
            if note == dialect.STOP:
                self.fronts.pop(instance, None)
                notes.pop(instance, None)
            elif note[0] is dialect.START:
                notes[instance] = []
                self.start(instance, note[1], note[2])
            else:
                notes.setdefault(instance, []).append(note)
        records = []
        for instance, heard in notes.items():
            front = self.fronts.get(instance)
            if front is None:
                continue
            try:
                orders = front.handle(decision_settings.us(clock), heard)
                records += [dialect.write_order(instance, order) for order in orders]
            except Exception as flaw:  # the wire wants any fault of the decisions named, whatever it is
                faults.append(dialect.write_fault(instance, f"{type(flaw).__name__}: {flaw}"))
        return records + faults


def serve(source, sink):
    host = Host()
    while (frame := read_frame(source)) is not None:
        sequence, clock, body = frame
        write_frame(sink, sequence, host.answer(sequence, clock, body))
