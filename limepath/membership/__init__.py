"""Membership of the group of instances, by SWIM, and authenticated datagrams between instances.

Read `interface` first (records, messages, events, commands), then `members`, which owns the parts of the
logic.

A received datagram passes through these modules:

    socket -> host.DatagramSocket -> guard.Guard.open    checks authenticity, replay and version
           -> MessageReceived -> members.Members.handle  checks receiver and sender generations
           -> failure_detector, join, anti_entropy       handle the message by its type
           -> record_updates                             decides whether a record overrides the known one
           -> member_table, gossip                       store the record; queue it for dissemination
           -> commands (SendMessage, MemberJoined, ...)  executed by the owner of the logic
           -> host.DatagramSocket.send -> guard.Guard.seal -> socket

Timers follow the same path from `members.Members.handle` on. Messages of other protocols are passed to other
logic as MessageRelayed; that logic sends its messages by `Members.send_to_member`.

State by owner:

- `member_table`: records of all members, the ring of live members, recently dead members, digests (`digests`)
- `failure_detector`: pings without an ack, the shuffled round, the local health score
- `suspicion`: open suspicions; `gossip`: the broadcast queue; `anti_entropy`: the cursor of pulls
- `join`: recently sent Hellos; `leave`: whether a leave has started
- `guard`: keys, the counter of sent datagrams, replay windows
- `identity`: none; it reads and creates the rows of the store that survive a restart (token, generation)

`bounds` computes time bounds from the settings. `control` answers `limepath peers show` on a local socket.
Only `host` and `control` use sockets and files; all other modules do no I/O and also run in virtual time.
"""
