"""All decisions of a dispatcher.  Read weldquay/interface.py first.  The mechanism is OPT, Theorem 4 of
"Optimal decentralized querying strategies for cooperative multi-agent systems".  Each file is a layer on the
one before it: state, times, cold, health, members, draw, jobs, dispatcher.  Every attempt goes this way:

1. A Worker keeps what this dispatcher knows of one worker: its last report, what was pushed to it and what
   came back since, signs of life, its start.  Its load is pushes since the report minus free slots.
2. Of the workers that told something lately those in health are candidates; _suits and _load tell which may
   take a job: of the right kind and group, warm enough, with room.
3. A job that finds too few of them with fresh news has a few others probed (_look) and waits for their news.
4. water_fill turns the loads and the arrivals expected within a report interval into shares; _place draws.
5. A job that no worker may take is held, and placed, dearest work first, when room appears; the planner holds
   room at one worker for a job of several slots, others go there only around its start, near it it queues.
Events change the view and the state of jobs (_end_attempt is the table of outcomes); then _tidy settles what
time alone brings: deadlines, the judgement of health, and the placing of held jobs."""
