"""Membership: which instances are alive, by SWIM, and authenticated datagrams between them.

Read `interface` first (records, messages, events, commands), then `members`, which owns the parts of the
logic.

The way of an event:

    socket -> host.DatagramSocket -> guard.Guard.open    authentic, no replay, of a known version?
           -> MessageReceived -> members.Members.handle  meant for this generation, from a live one?
           -> failure_detector, join, anti_entropy       by type of message
           -> record_updates                             does a record override what is known?
           -> member_table, gossip                       what is known; what is to be disseminated
           -> commands (SendMessage, MemberJoined, ...)  carried out by the owner of the logic
           -> host.DatagramSocket.send -> guard.Guard.seal -> socket

Timers take the same way from `members.Members.handle`. Messages that are not of this package go on as
MessageRelayed to other logic, which sends by `Members.send_to_member`.

State, and who owns it:

- `member_table`: records of all members, the ring of live ones, the dead for a while, digests (`digests`)
- `failure_detector`: pings without an ack so far, the shuffled round, the local health score
- `suspicion`: open suspicions; `gossip`: the broadcast queue; `anti_entropy`: the cursor of pulls
- `join`: Hellos sent lately; `leave`: whether the instance leaves
- `guard`: keys, the counter of datagrams, replay windows
- `identity`: nothing; it reads and makes the rows of the store that survive a restart (token, generation)

`bounds` computes what the settings promise. `control` answers `limepath peers show` on a local socket. Only
`host` and `control` touch sockets and files; all else is free of I/O and runs in virtual time too.
"""
