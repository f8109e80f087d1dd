//! Enums whose values are single words in the protocol, with the word for each value.

/// Defines an enum that is serialized as one word. Deserialization accepts any word: a word that this version does
/// not know becomes `Unknown`, so that it does not make the whole message undecodable.
macro_rules! word_enum {
    (
        $(#[$meta:meta])*
        $name:ident { $( $(#[$variant_meta:meta])* $variant:ident = $word:literal, )+ }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq)]
        pub enum $name {
            $( $(#[$variant_meta])* $variant, )+
            /// Word that this version does not know.
            Unknown(String),
        }

        impl $name {
            /// Returns the word in the protocol.
            pub fn as_str(&self) -> &str {
                match self {
                    $( $name::$variant => $word, )+
                    $name::Unknown(word) => word,
                }
            }
        }

        impl From<&str> for $name {
            fn from(word: &str) -> Self {
                match word {
                    $( $word => $name::$variant, )+
                    other => $name::Unknown(other.to_string()),
                }
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(self.as_str())
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                String::deserialize(deserializer).map(|word| $name::from(word.as_str()))
            }
        }
    };
}

word_enum! {
    /// State of an attempt of a task on a machine.
    TaskStatus {
        /// The image is being fetched.
        Fetching = "fetching",
        /// The attempt is running.
        Running = "running",
        /// The attempt has been told to stop and is writing a checkpoint.
        Checkpointing = "saving",
        /// The attempt has ended; [`ExitCause`] gives the cause.
        Exited = "exited",
    }
}

word_enum! {
    /// Cause of the end of an attempt on a machine, or of its rejection.
    ExitCause {
        /// The task completed.
        Done = "done",
        /// The attempt was stopped by a command.
        Stopped = "stopped",
        /// The attempt failed.
        Error = "error",
        /// Rejected: the machine has too few free resources.
        NoRoom = "no_room",
        /// Rejected: another attempt of the task is on this machine.
        Busy = "busy",
        /// Rejected: the agent could not read the job's specification.
        UnknownJob = "unknown",
    }
}

word_enum! {
    /// Action that a command tells an agent to perform.
    Verb {
        /// Starts an attempt of a task.
        Launch = "launch",
        /// Stops the attempt, after a checkpoint if there is time for one.
        Stop = "stop",
        /// Acknowledges the exit of an attempt, after which the agent no longer reports the attempt.
        Acknowledge = "reap",
    }
}
