"""Simulated ("hollow") members together with real managers on one machine.

Measures the cost of a fleet of many managers, and checks that it works correctly.

    python -m bench.scale run FILE.ini [--sizes 30,100]           # runs even if there is a result
    python -m bench.scale sweep FOLDER_OR_FILES [--sizes 30,100]  # runs only what has no result
    python -m bench.scale report

Real managers run the code of `dunlinlug manager`, each in its own process. Hollow members speak the
same protocols, many in one process, without the parts that are not measured. `docs/scale.md`
describes how they are validated and what the limits are.

A run writes one file, `bench/scale/results/SCENARIO-MEMBERS-sSEED.json`, with sorted keys; a run
that ended early writes the same with the suffix `.partial`, which a sweep does not count as a
result. Seconds and shares are measured by the slowed clock of the run, which advances at the rate
`clock` of real time: a share of 0.01 is 10 ms of processor time in one second of that clock.

    scenario, seed, date
    machine      {cores, memory_gb, load: [before, after]}   load: average of the machine over a minute
    sizes        {members, real, hollow, workers, followers, proxies}
    clock        rate of all clocks of the run, as a fraction of real time
    beat_s       seconds between probes
    span_s       seconds measured
    ended        "whole", or the reason why the run ended early
    peak_mb      largest resident memory of all processes together; shared pages count in each process
    steps        {name: kind}   the faults and changes of the run
    roles        {real, hollow, discovery, proxies: role}
      processes, members
      cpu_s, cpu_share_per_member                   processor time in the span; per second and member
      control_cpu_s, control_cpu_share_per_member   its part for member messages: opening, protocol, sealing, sending,
                                                    partition checks and broadcasts; without waiting and scheduling
      rss_mb, rss_mb_per_member                     resident memory at the end of the span, in all and per member
      messages    {kind: {in, out, bytes_in, bytes_out}}   of all members of the role, in the span
                  members: ping, ack, ask (ping request), nack, news (gossip), whole (state sync), in sealed bytes; list
                  (queries of discovery, bytes of bodies); discovery: "list actual" (real managers), "list hollow";
                  proxies: ads, lrs
      per_member_s {in, out, bytes_in, bytes_out}   per second and member, without lists
      counts      log events, rejections and state changes of members: "became failed", "membership.process_paused", ...
      queues      largest length seen of each: gossip (broadcasts not sent yet), streams, channel (lines), events,
                  waiting (blocking queries); "refused rate" and the like: by one member since its start
      datagrams   {dropped, longest_unread_bytes}   at the sockets of members, as the kernel reports
    times
      joined_s               from the start of all members until all views were equal
      views_equal_s          from the end of the last fault until all views were equal and remained so to the end, with a
                             resolution of one second (a quarter after the span); null if later than views_within_s
      failed_seen_s          {count, p50, p99, most} from a death until each other member reports it
      failed_seen_by_last_s  the same until the last member reports it
      list_at_last_s         from a change of the list until the last follower that was never stopped has it
      configured_at_last_s   from a change of configuration until the last real manager has applied it
    truth
      false_verdicts, false_shown   members reported as failed that were up and reachable, and the first of them
      verdicts, verdicts_missing    all failure reports, and those that were due and not made before the member was back
      rules       {lines, tries, bare, drain, queue, shown}: violations at the real managers found by the project's audit,
                  of the rules that can be checked without requests, and the record lines checked; null without proxies
      verdicts_uncounted            reports beyond the buffer of a process
      grace_s                       seconds after the end of a fault in which a report of it is still correct
      views_equal, views_within_s   whether all views became equal, and the time limit for it
      list_changes, list_lost, list_disordered   followers whose last list differs from discovery's, or went back
    validation
      own       messages of an average hollow member compared with an average real one in this run: {rows, worst, error,
                judged, valid}; null if members were stopped or partitioned, as that is only done to hollow ones
      earlier   {"5": bool, "30": bool}   the same for the runs `validate-5` and `validate-30`
    strained     more than 1% of the members' datagrams were dropped unread: the figures depend on the machine's load
    valid        whether the figures count: whole, not strained, validated at 5 and 30 members, and here if compared
"""
