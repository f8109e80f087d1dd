//! Bodies of requests to the cloud's machine API and of its responses.

use crate::amount;
use serde::{Deserialize, Serialize};

/// Response to `GET /machine_types`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalogue {
    /// All machine types that the cloud offers.
    #[serde(rename = "builds")]
    pub machine_types: Vec<MachineType>,
}

/// One machine type of the cloud.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs of a machine of this type.
    #[serde(rename = "vcpus", deserialize_with = "amount::required")]
    pub cpus: f64,
    /// GPUs of a machine of this type.
    #[serde(rename = "accelerators", deserialize_with = "amount::required")]
    pub gpus: f64,
    /// Memory of a machine of this type, in gigabytes.
    #[serde(deserialize_with = "amount::required")]
    pub memory_gb: f64,
    /// Space for cached images, in gigabytes.
    #[serde(default, deserialize_with = "amount::optional")]
    pub local_gb: Option<f64>,
    /// Rate at which images are fetched, in gigabytes per second.
    #[serde(default, deserialize_with = "amount::optional")]
    pub fetch_gb_per_s: Option<f64>,
    /// Price per hour of an on-demand machine.
    #[serde(deserialize_with = "amount::required")]
    pub price: f64,
    /// Price per hour of a spot machine; `None`: there are none of this type.
    #[serde(default, deserialize_with = "amount::optional")]
    pub spot_price: Option<f64>,
    /// Published boot time, in seconds.
    #[serde(rename = "startup_s", deserialize_with = "amount::required")]
    pub boot_s: f64,
    /// Zones in which the type can be provisioned.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Body of `POST /rentals`, an idempotent request to provision machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Name of the request: repeating it provisions nothing twice.
    #[serde(rename = "hire")]
    pub name: String,
    /// The wanted machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// The wanted zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are wanted.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// How many machines are wanted.
    pub number: u64,
}

/// Response to a [`ProvisionRequest`], and body of a request to terminate machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Names of machines.
    #[serde(rename = "perches")]
    pub machines: Vec<String>,
}

/// Response to `GET /rentals`: one page of the provisioned machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines in order of their names.
    #[serde(rename = "perches")]
    pub machines: Vec<ListedMachine>,
    /// Whether there are further pages.
    #[serde(rename = "more", default)]
    pub has_more: bool,
}

/// One machine in the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "uid")]
    pub id: String,
    /// Network address at which its agent accepts commands, once that is known.
    #[serde(rename = "endpoint", default)]
    pub address: Option<String>,
    /// Its type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    pub status: String,
    /// Time since the machine was requested, in seconds.
    #[serde(rename = "held_s", deserialize_with = "amount::required")]
    pub age_s: f64,
}
