"""Hosts many fronts in one process: passes the events of each batch to them and returns their commands."""

import json

from limepath.configuration import decision_settings
from limepath.decisions.engine import DecisionEngine
from limepath.simulator_host import codec
from limepath.simulator_host.frames import Cursor, WireError, read_frame, write_frame


class Host:
    def __init__(self):
        self.fronts = {}
        self.load_fields = {}

    def load_fields_of(self, instance):
        return self.load_fields.get(instance, ())

    def start(self, instance, seed, settings_json):
        try:
            settings = json.loads(settings_json)
            arguments = decision_settings.decision_arguments(settings)
            self.load_fields[instance] = decision_settings.load_fields(settings)
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
            raise WireError(f"settings of instance {instance}: {type(error).__name__}: {error}") from None
        self.fronts[instance] = DecisionEngine(seed=seed, **arguments)

    def answer(self, sequence, clock, body):
        """Return the records of the reply to one batch."""
        cursor = Cursor(sequence, body)
        events_by_instance, errors = {}, []
        while cursor:
            instance, event = codec.read_event(cursor, self.load_fields_of)
            if event == codec.STOP:
                self.fronts.pop(instance, None)
                events_by_instance.pop(instance, None)
            elif event[0] is codec.START:
                events_by_instance[instance] = []
                self.start(instance, event[1], event[2])
            else:
                events_by_instance.setdefault(instance, []).append(event)
        records = []
        for instance, events in events_by_instance.items():
            front = self.fronts.get(instance)
            if front is None:
                continue
            try:
                commands = front.handle(decision_settings.to_microseconds(clock), events)
                records += [codec.write_command(instance, command) for command in commands]
            except Exception as error:  # the protocol reports any exception of the decision engine
                errors.append(codec.write_error(instance, f"{type(error).__name__}: {error}"))
        return records + errors


def serve(source, sink):
    host = Host()
    while (frame := read_frame(source)) is not None:
        sequence, clock, body = frame
        write_frame(sink, sequence, host.answer(sequence, clock, body))
